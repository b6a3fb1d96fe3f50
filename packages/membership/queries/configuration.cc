#include "membership/membership.h"

namespace dragonflytray {

MembershipView Membership::configuration(const MembershipQuery& query, Instant) const
{
    const ConfigurationVersion wanted = std::get<ConfigurationQuery>(query).version;
    if (wanted != 0 && wanted != this->version) {
        const auto found = this->cachedTexts.find(wanted);
        return found == this->cachedTexts.end() ? ConfigurationText {} : ConfigurationText { wanted, found->second };
    }
    return ConfigurationText { this->version, this->text };
}

} // namespace dragonflytray
