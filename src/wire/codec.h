// Includes all codecs. The protocol's wire names (wire_names.h) are used in this folder only; all other code
// uses standard terms.
#pragma once
#include "cloud_codec.h"
#include "model.h"
#include "msgpack.h"
#include "state_store_codec.h"
#include "user_codec.h"
#include "worker_codec.h"
