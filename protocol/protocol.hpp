// Public header of the protocol package: codecs between values and bytes or text.
#ifndef CHIVELEVER_PROTOCOL_PROTOCOL_HPP
#define CHIVELEVER_PROTOCOL_PROTOCOL_HPP

// IWYU pragma: begin_exports
#include "protocol/codec.hpp"
#include "protocol/config_json.hpp"
#include "protocol/edge_codec.hpp"
#include "protocol/edge_settings.hpp"
#include "protocol/settings.hpp"
// IWYU pragma: end_exports

#endif
