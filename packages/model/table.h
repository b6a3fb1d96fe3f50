#pragma once

// Rows and transactions of the platform's table as decisions see them. The encoding is in `platform`.
//
// Example:
//
//     Transaction transaction { .id = TransactionId("entry-1/7"), .conditions = { { key, 0 } }, .writes = { { key, job } } };

#include "model/batch_types.h"
#include <variant>
#include <vector>

namespace dragonflytray {

// RowKind is the first part of a row's key.
enum class RowKind {
    Leader, // one for each data centre; written at each change of holder
    LeaderBeat, // one for each data centre; written at each renewal
    Job, // one for each accepted job
    Configuration, // exactly one, named "current"
    Request, // one for each non-idempotent request id
};

inline constexpr NameTable rowKindNames { std::to_array<NameEntry<RowKind>>({
    { RowKind::Leader, "leader" },
    { RowKind::LeaderBeat, "leader-beat" },
    { RowKind::Job, "job" },
    { RowKind::Configuration, "configuration" },
    { RowKind::Request, "request" },
}) };
static_assert(rowKindNames.isWhole(RowKind::Request));

// RowKey names one row of the table.
struct RowKey {
    RowKind kind { RowKind::Job };
    std::string name;

    auto operator<=>(const RowKey&) const = default;
};

// RowVersion is the table's revision at which a row was last written; 0: the row is absent.
using RowVersion = std::uint64_t;

// LeaderRow names the leader of a data centre. Every transaction of a leader is conditional on its
// version, so a holder that was replaced writes nothing.
struct LeaderRow {
    HostName holder;
    Epoch epoch { 0 };
};

// LeaderBeatRow grows with each renewal of a leader's lease, so that others see on their own clocks
// that the lease is alive. It is apart from LeaderRow so that a renewal conflicts with no transition.
struct LeaderBeatRow {
    Epoch epoch { 0 };
    std::uint64_t beat { 0 };
};

// ConfigurationRecord remembers one earlier version of the configuration and the transaction that wrote it.
struct ConfigurationRecord {
    ConfigurationVersion version { 0 };
    std::string objectKey;
    TransactionId writer;
};

// ConfigurationRow names the declaration in force, and a bounded number of those before it.
struct ConfigurationRow {
    ConfigurationVersion version { 0 };
    std::string objectKey; // where the declaration's text is
    std::vector<ConfigurationRecord> history {}; // newest first
};

// RequestRow records that one entry host took a non-idempotent request for its single send.
struct RequestRow {
    HostName entryHost;
};

// TableRow is the value of any row.
using TableRow = std::variant<LeaderRow, LeaderBeatRow, Job, ConfigurationRow, RequestRow>;

// RowCondition holds when the row is at exactly this version.
struct RowCondition {
    RowKey key;
    RowVersion version { 0 };
};

// RowWrite replaces or creates one row.
struct RowWrite {
    RowKey key;
    TableRow value;
};

// Transaction is applied as a whole when every condition holds. Its id is kept with the rows that it
// wrote, so that a writer whose answer was lost can find out whether it took effect.
struct Transaction {
    TransactionId id;
    std::vector<RowCondition> conditions;
    std::vector<RowWrite> writes;
    std::vector<RowKey> deletes;
};

// TransactionStatus is what is known about a transaction.
enum class TransactionStatus {
    Committed,
    Conflict, // a condition failed; nothing was written
    Unavailable, // surely not applied
    Ambiguous, // may have been applied
};

inline constexpr NameTable transactionStatusNames { std::to_array<NameEntry<TransactionStatus>>({
    { TransactionStatus::Committed, "committed" },
    { TransactionStatus::Conflict, "conflict" },
    { TransactionStatus::Unavailable, "unavailable" },
    { TransactionStatus::Ambiguous, "ambiguous" },
}) };
static_assert(transactionStatusNames.isWhole(TransactionStatus::Ambiguous));

// RowChange is a row as read; no value: the row was deleted.
struct RowChange {
    RowKey key;
    RowVersion version { 0 };
    TransactionId writer; // of the last write
    std::optional<TableRow> value;
};

// TransactionResult is the end of one transaction. `revision` is the version of every row written.
struct TransactionResult {
    TransactionId id;
    TransactionStatus status { TransactionStatus::Unavailable };
    RowVersion revision { 0 };
    std::vector<RowChange> conflicts; // rows whose condition failed, as they stand
};

} // namespace dragonflytray
