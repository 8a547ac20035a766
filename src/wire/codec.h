// The only folder that knows PROTOCOL's wire names (wire_names.h). Everything else speaks the field's terms.
#pragma once
#include "cloud_codec.h"
#include "model.h"
#include "msgpack.h"
#include "state_store_codec.h"
#include "user_codec.h"
#include "worker_codec.h"
