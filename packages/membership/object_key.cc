#include "membership/object_key.h"

#include <array>
#include <openssl/sha.h>
#include <string_view>

namespace dragonflytray {

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

} // namespace dragonflytray
