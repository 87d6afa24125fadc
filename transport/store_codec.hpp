// Serialization of the configuration values in the platform's store.
#ifndef CHIVELEVER_TRANSPORT_STORE_CODEC_HPP
#define CHIVELEVER_TRANSPORT_STORE_CODEC_HPP

#include "coordination/coordination.hpp"

namespace chivelever
{

// Codec for the JSON format of protocol/config_json.hpp.
store_codec json_store_codec();

} // namespace chivelever

#endif
