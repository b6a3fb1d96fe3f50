#pragma once

// The JSON of rows and transactions; for this library's own sources and tests.

#include "model/model.h"
#include <nlohmann/json.hpp>

namespace dragonflytray::internal {

// formatKey() is the table's key of a row: `kind/name`.
std::string formatKey(const RowKey& key);

// parseKey() reads a table's key; nothing for a kind that is not known.
std::optional<RowKey> parseKey(const std::string& text);

// encodeTransaction() is the body of a transaction.
nlohmann::json encodeTransaction(const Transaction& transaction);

// decodeRow() reads one row of an answer; nothing when it is not well-formed.
std::optional<RowChange> decodeRow(const nlohmann::json& json);

// encodeRow() is the value of a row.
nlohmann::json encodeRow(const TableRow& row);

} // namespace dragonflytray::internal
