/// \file
/// The fixture has moved: new tests include support/loopback.h.
#pragma once

#include "support/loopback.h"
