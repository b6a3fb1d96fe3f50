#include "membership/membership.h"

namespace dragonflytray {

MembershipView Membership::configuration(const MembershipQuery&, Instant) const
{
    return ConfigurationText { this->version, this->text };
}

} // namespace dragonflytray
