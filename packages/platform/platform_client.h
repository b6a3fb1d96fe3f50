#pragma once

// Carries out PlatformWork over HTTP with JSON.
//
// Example:
//
//     PlatformClient client(loop, { .endpoint = { "127.0.0.1", 9000 } });
//     client.perform(ReadHostList {}, [](PlatformResult result) { ... });

#include "model/model.h"
#include "transport/transport.h"

namespace dragonflytray {

// PlatformClient belongs to one loop. Not thread-safe. Every work ends in exactly one result of its
// kind within the timeout; a failure is a result that says what is known.
class PlatformClient {
public:
    struct Options {
        Endpoint endpoint;
        Duration timeout { std::chrono::seconds(2) };
        std::size_t connectionLimit { 32 };
    };
    using Completion = std::function<void(PlatformResult)>;

    PlatformClient(IoLoop& loop, Options options);

    // perform() sends `work` and completes on the loop's thread.
    void perform(const PlatformWork& work, Completion completion);

private:
    using Performer = void (PlatformClient::*)(const PlatformWork&, Completion);

    void writeTransaction(const PlatformWork& work, Completion completion);
    void readRows(const PlatformWork& work, Completion completion);
    void readObject(const PlatformWork& work, Completion completion);
    void writeObject(const PlatformWork& work, Completion completion);
    void readHostList(const PlatformWork& work, Completion completion);

    Options options;
    HttpClient client;
};

} // namespace dragonflytray
