#pragma once

// What decisions ask of the platform's service, and what comes back. The encoding is in `platform`.

#include "model/table.h"
#include <optional>

namespace dragonflytray {

// WriteTransaction applies one transaction; answered by TransactionResult.
struct WriteTransaction {
    Transaction transaction;
};

// ReadRows reads the rows of some kinds that changed after a revision; answered by RowsRead.
struct ReadRows {
    std::vector<RowKind> kinds;
    RowVersion after { 0 };
};

// ReadObject reads one object; answered by ObjectRead.
struct ReadObject {
    std::string key;
};

// WriteObject writes one object; answered by ObjectWritten.
struct WriteObject {
    std::string key;
    std::string value;
};

// ReadHostList reads the platform's lagging list; answered by HostListRead.
struct ReadHostList {
};

using PlatformWork = std::variant<WriteTransaction, ReadRows, ReadObject, WriteObject, ReadHostList>;

// RowsRead holds the changed rows; not `isRead`: the platform did not answer.
struct RowsRead {
    bool isRead { false };
    RowVersion revision { 0 }; // pass it as the next `after`
    std::vector<RowChange> rows;
};

// ObjectRead holds an object's value; nothing: absent, or the platform did not answer.
struct ObjectRead {
    std::string key;
    std::optional<std::string> value;
};

// ObjectWritten says whether the write is known to have taken effect.
struct ObjectWritten {
    std::string key;
    bool isWritten { false };
};

// HostListRead holds the list; not `isRead`: the platform did not answer.
struct HostListRead {
    bool isRead { false };
    std::vector<Host> hosts;
};

using PlatformResult = std::variant<TransactionResult, RowsRead, ObjectRead, ObjectWritten, HostListRead>;

} // namespace dragonflytray
