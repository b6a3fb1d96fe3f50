#pragma once

// The limits on one request while it arrives.

#include <cstddef>

namespace dragonflytray {

// RequestLimits bounds what a server keeps of a request before it is whole.
struct RequestLimits {
    std::size_t body { 1 << 20 }; // bytes
    std::size_t header { 16 << 10 }; // bytes
    std::size_t fields { 128 }; // of the header and the trailers together
    std::size_t buffer { 64 << 10 }; // bytes that are not parsed yet: a header, a chunk header or the trailers
    std::size_t wire { 4 << 20 }; // bytes on the wire, framing included
};

} // namespace dragonflytray
