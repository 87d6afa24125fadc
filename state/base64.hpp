// Base64 with padding (RFC 4648), as stores hand out binary values.
#ifndef CHIVELEVER_STATE_BASE64_HPP
#define CHIVELEVER_STATE_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

// Nothing if the text is not base64.
std::optional<std::string> from_base64(std::string_view text);
std::string to_base64(std::string_view bytes);

} // namespace chivelever

#endif
