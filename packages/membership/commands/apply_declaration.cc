#include "membership/membership.h"

#include <openssl/sha.h>

namespace dragonflytray {

namespace {

    // objectKeyOf() names a declaration's text by its SHA-256 digest.
    std::string objectKeyOf(const std::string& text)
    {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        constexpr std::string_view digits = "0123456789abcdef";
        std::string key = "declaration-";
        for (unsigned char byte : digest) {
            key += digits[byte / 16];
            key += digits[byte % 16];
        }
        return key;
    }

} // namespace

void Membership::applyDeclaration(const MembershipCommand& command, Instant, MembershipEffects& effects)
{
    const auto& apply = std::get<ApplyDeclaration>(command);
    auto declaration = parseDeclaration(apply.text, apply.file);
    if (!declaration) {
        effects.push_back(ReplyToOperator { apply.token, ApplyStatus::Faulty, this->version, declaration.error() });
        return;
    }
    if (apply.base != this->version) {
        effects.push_back(ReplyToOperator { apply.token, ApplyStatus::Conflict, this->version, {} });
        return;
    }
    PendingApply pending { apply, objectKeyOf(apply.text), {} };
    effects.push_back(WriteObject { pending.objectKey, apply.text });
    this->applies.push_back(std::move(pending));
}

} // namespace dragonflytray
