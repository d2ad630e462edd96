/// \file
/// The client has moved: new tests include support/raw_client.h.
#pragma once

#include "support/raw_client.h"
