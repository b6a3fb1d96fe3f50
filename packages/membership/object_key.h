#pragma once

// Computes the key of a declaration's text in the object store.
//
// Example:
//
//     std::string key = objectKeyOf("customer: a\n"); // "declaration-" and 64 hexadecimal digits

#include <string>

namespace dragonflytray {

// objectKeyOf() returns a key made from the SHA-256 digest of `text`. A reader can thus detect a corrupt object, and
// equal texts share one object. Pure. Takes time linear in the size of the text.
std::string objectKeyOf(const std::string& text);

} // namespace dragonflytray
