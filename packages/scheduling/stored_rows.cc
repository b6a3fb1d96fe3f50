#include "scheduling/stored_rows.h"

namespace dragonflytray {

namespace {

    // Offset basis and prime of the 32-bit FNV-1a hash.
    constexpr std::uint32_t fnvOffsetBasis = 2166136261U;
    constexpr std::uint32_t fnvPrime = 16777619U;

    std::uint32_t hashOf(const std::string& text)
    {
        std::uint32_t hash = fnvOffsetBasis;
        for (const char character : text)
            hash = (hash ^ static_cast<unsigned char>(character)) * fnvPrime;
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
