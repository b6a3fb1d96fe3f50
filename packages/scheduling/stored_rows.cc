#include "scheduling/stored_rows.h"

namespace dragonflytray {

namespace {

    // FNV-1a, 32 bits: offset basis and prime.
    constexpr std::uint32_t hashBasis = 2166136261U;
    constexpr std::uint32_t hashPrime = 16777619U;

    std::uint32_t hashOf(const std::string& text)
    {
        std::uint32_t hash = hashBasis;
        for (const char letter : text)
            hash = (hash ^ static_cast<unsigned char>(letter)) * hashPrime;
        return hash;
    }

} // namespace

std::uint32_t partitionOf(const StoredRowKey& key)
{
    if (key.kind == StoredRowKind::CellLease)
        return leasePartition;
    return hashOf(key.name) % jobPartitions;
}

} // namespace dragonflytray
