#include "platform/platform_client.h"

#include "platform/internal/host_json.h"
#include "platform/internal/row_json.h"
#include "json/json.h"
#include "json/number_limits.h"

namespace dragonflytray {

using nlohmann::json;
using Answer = tl::expected<HttpResponse, SendFailure>;

namespace {

    constexpr unsigned statusOk = 200;
    constexpr unsigned statusConflict = 409;
    constexpr unsigned statusUnavailable = 503;

    // parseAnswer() is the JSON body of an answer, or a discarded value when there is none.
    json parseAnswer(const Answer& answer)
    {
        return answer ? parseJson(answer->body) : json(json::value_t::discarded);
    }

    // arrayMember() is the member `name` of an object, or null if there is no such array. The pointer refers into `body`.
    const json* arrayMember(const json& body, const char* name)
    {
        const auto found = body.find(name);
        return found != body.end() && found->is_array() ? &*found : nullptr;
    }

    // decodeRevision() is the member `revision`, or nothing if it is not one.
    std::optional<RowVersion> decodeRevision(const json& body)
    {
        const auto found = body.find("revision");
        const auto revision = found != body.end() ? numberAs<RowVersion>(*found) : std::nullopt;
        return revision && *revision <= maxOrdinal ? revision : std::nullopt;
    }

    std::vector<RowChange> decodeRows(const json& body, const char* member)
    {
        std::vector<RowChange> rows;
        const json* values = arrayMember(body, member);
        if (!values)
            return rows;
        for (const json& value : *values) {
            if (auto row = internal::decodeRow(value))
                rows.push_back(std::move(*row));
        }
        return rows;
    }

    TransactionStatus statusOf(const Answer& answer)
    {
        if (!answer)
            return answer.error().isSurelyNotSent ? TransactionStatus::Unavailable : TransactionStatus::Ambiguous;
        if (answer->status == statusOk)
            return TransactionStatus::Committed;
        if (answer->status == statusConflict)
            return TransactionStatus::Conflict;
        return answer->status == statusUnavailable ? TransactionStatus::Unavailable : TransactionStatus::Ambiguous;
    }

} // namespace

PlatformClient::PlatformClient(IoLoop& loop, Options options)
    : options(std::move(options))
    , client(loop, { .connectTimeout = this->options.timeout, .connectionLimit = this->options.connectionLimit })
{
}

void PlatformClient::perform(const PlatformWork& work, Completion completion)
{
    static constexpr std::array<Performer, std::variant_size_v<PlatformWork>> performers {
        &PlatformClient::writeTransaction,
        &PlatformClient::readRows,
        &PlatformClient::readObject,
        &PlatformClient::writeObject,
        &PlatformClient::readHostList,
    };
    (this->*performers[work.index()])(work, std::move(completion));
}

void PlatformClient::writeTransaction(const PlatformWork& work, Completion completion)
{
    const Transaction& transaction = std::get<WriteTransaction>(work).transaction;
    HttpRequest request { .method = HttpMethod::Post, .target = "/table/transactions", .headers = {}, .body = serializeJson(internal::encodeTransaction(transaction)) };
    this->client.send(this->options.endpoint, std::move(request), this->options.timeout, [id = transaction.id, completion = std::move(completion)](Answer answer) {
        const json body = parseAnswer(answer);
        TransactionResult result { id, statusOf(answer), 0, decodeRows(body, "conflicts") };
        if (result.status == TransactionStatus::Committed)
            result.revision = decodeRevision(body).value_or(0);
        if (result.status == TransactionStatus::Committed && result.revision == 0)
            result.status = TransactionStatus::Ambiguous;
        completion(std::move(result));
    });
}

void PlatformClient::readRows(const PlatformWork& work, Completion completion)
{
    const auto& read = std::get<ReadRows>(work);
    std::string kinds;
    for (RowKind kind : read.kinds)
        kinds += (kinds.empty() ? "" : ",") + std::string(rowKindNames.nameOf(kind));
    HttpRequest request { .target = "/table/rows?kinds=" + percentEncode(kinds) + "&after=" + std::to_string(read.after), .headers = {}, .body = {} };
    this->client.send(this->options.endpoint, std::move(request), this->options.timeout, [completion = std::move(completion)](Answer answer) {
        const json body = parseAnswer(answer);
        const auto revision = answer && answer->status == statusOk && arrayMember(body, "rows") ? decodeRevision(body) : std::nullopt;
        if (!revision)
            return completion(RowsRead {});
        completion(RowsRead { true, *revision, decodeRows(body, "rows") });
    });
}

void PlatformClient::readObject(const PlatformWork& work, Completion completion)
{
    const std::string key = std::get<ReadObject>(work).key;
    this->client.send(this->options.endpoint, { .target = "/objects/" + percentEncode(key), .headers = {}, .body = {} }, this->options.timeout, [key, completion = std::move(completion)](Answer answer) {
        ObjectRead result { key, std::nullopt };
        if (answer && answer->status == statusOk)
            result.value = std::move(answer->body);
        completion(std::move(result));
    });
}

void PlatformClient::writeObject(const PlatformWork& work, Completion completion)
{
    const auto& write = std::get<WriteObject>(work);
    HttpRequest request { .method = HttpMethod::Put, .target = "/objects/" + percentEncode(write.key), .headers = {}, .body = write.value };
    this->client.send(this->options.endpoint, std::move(request), this->options.timeout, [key = write.key, completion = std::move(completion)](Answer answer) {
        completion(ObjectWritten { key, answer && answer->status == statusOk });
    });
}

void PlatformClient::readHostList(const PlatformWork&, Completion completion)
{
    this->client.send(this->options.endpoint, { .target = "/hosts", .headers = {}, .body = {} }, this->options.timeout, [completion = std::move(completion)](Answer answer) {
        const json body = parseAnswer(answer);
        HostListRead result;
        const json* hosts = answer && answer->status == statusOk ? arrayMember(body, "hosts") : nullptr;
        result.isRead = hosts != nullptr;
        if (hosts) {
            for (const json& value : *hosts) {
                if (auto host = internal::decodeHost(value))
                    result.hosts.push_back(std::move(*host));
            }
        }
        completion(std::move(result));
    });
}

} // namespace dragonflytray
