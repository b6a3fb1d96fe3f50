// An answer of the platform that can't be decoded must become a result, not an exception on the loop's thread.

#include "platform/platform.h"

#include <catch2/catch.hpp>
#include <future>

namespace dragonflytray {
namespace {

    // PlatformFixture is a platform that gives the same answer to every call.
    class PlatformFixture {
    protected:
        PlatformResult perform(const PlatformWork& work, const std::string& body)
        {
            IoLoop loop;
            HttpServer server(loop, { .endpoint = { "127.0.0.1", 0 } }, [&](const HttpRequest&, std::shared_ptr<HttpReply> reply) { reply->send({ .status = 200, .body = body }); });
            const Endpoint endpoint = server.start().value();
            std::optional<PlatformResult> result;
            {
                PlatformClient client(loop, { .endpoint = endpoint });
                loop.post([&] {
                    client.perform(work, [&](PlatformResult received) {
                        result = std::move(received);
                        loop.stop();
                    });
                });
                loop.run();
            }
            return result.value();
        }

        static constexpr std::array<const char*, 7> unreadableBodies { "", "[]", "7", "{", R"({"revision":"7"})", R"({"revision":1e20,"rows":7,"hosts":7,"conflicts":7})", R"({"revision":-1,"rows":{"a":1},"hosts":[7,null],"conflicts":[[]]})" };
    };

    TEST_CASE_METHOD(PlatformFixture, "PlatformClient_transactionAnswerThatCannotBeDecoded_isAmbiguous")
    {
        for (const char* body : unreadableBodies) {
            INFO(body);
            const PlatformResult result = this->perform(WriteTransaction {}, body);
            CHECK(std::get<TransactionResult>(result).status == TransactionStatus::Ambiguous);
        }
        const PlatformResult committed = this->perform(WriteTransaction {}, R"({"revision":7})");
        CHECK(std::get<TransactionResult>(committed).status == TransactionStatus::Committed);
        CHECK(std::get<TransactionResult>(committed).revision == 7);
    }

    TEST_CASE_METHOD(PlatformFixture, "PlatformClient_rowsThatCannotBeDecoded_areNotRead")
    {
        for (const char* body : unreadableBodies) {
            INFO(body);
            CHECK_FALSE(std::get<RowsRead>(this->perform(ReadRows {}, body)).isRead);
        }
        CHECK(std::get<RowsRead>(this->perform(ReadRows {}, R"({"revision":7,"rows":[]})")).isRead);
    }

    TEST_CASE_METHOD(PlatformFixture, "PlatformClient_hostListThatIsNoList_isNotRead")
    {
        for (const char* body : { "", "[]", "{", R"({"hosts":7})", R"({"hosts":{"a":{}}})", R"({"hosts":null})" }) {
            INFO(body);
            CHECK_FALSE(std::get<HostListRead>(this->perform(ReadHostList {}, body)).isRead);
        }
        CHECK(std::get<HostListRead>(this->perform(ReadHostList {}, R"({"hosts":[7,null,{"name":7}]})")).hosts.empty());
    }

} // namespace
} // namespace dragonflytray
