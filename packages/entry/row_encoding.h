#pragma once

// The bytes of stored rows: CBOR maps with the product's own names.
//
// Example:
//
//     std::string bytes = encodeRow(row);
//     std::optional<StoredRow> same = decodeRow(StoredRowKind::Progress, bytes);

#include "scheduling/scheduling.h"

namespace dragonflytray {

// encodeRow() is the bytes of a row.
std::string encodeRow(const StoredRow& row);

// decodeRow() reads a row of that kind, or nothing when the bytes don't hold one.
std::optional<StoredRow> decodeRow(StoredRowKind kind, const std::string& bytes);

} // namespace dragonflytray
