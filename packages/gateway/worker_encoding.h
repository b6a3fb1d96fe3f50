#pragma once

// The protocol towards workers: one POST renews leases, starts and stops tasks and brings the reports
// of all attempts. All functions are pure.

#include "batch/batch.h"
#include "transport/transport.h"

namespace dragonflytray {

// encodeContact() is the HTTP request of one contact.
HttpRequest encodeContact(const ContactWorker& contact);

// decodeContact() is the batch command that an answer or a failure amounts to.
BatchCommand decodeContact(const HostName& worker, Epoch epoch, const tl::expected<HttpResponse, SendFailure>& answer);

} // namespace dragonflytray
