#pragma once

// The key of a declaration's text in the object store.

#include <string>

namespace dragonflytray {

// objectKeyOf() names `text` by its SHA-256 digest, so that a damaged object is recognised and equal texts
// share one object. Pure; linear in the text.
std::string objectKeyOf(const std::string& text);

} // namespace dragonflytray
