// Texts of the configuration's values in the platform's store.
#ifndef CHIVELEVER_TRANSPORT_STORE_CODEC_HPP
#define CHIVELEVER_TRANSPORT_STORE_CODEC_HPP

#include "coordination/coordination.hpp"

namespace chivelever
{

// JSON, as in protocol/config_json.hpp.
store_codec json_store_codec();

} // namespace chivelever

#endif
