#pragma once

// The public header of the `platform` library: the client of the platform's table, object store and
// host list. Decisions speak in `PlatformWork` and `PlatformResult`; the encoding stays in here.

#include "platform/platform_client.h"
