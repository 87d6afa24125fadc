// Padded Base64 (RFC 4648), the form in which key-value stores return binary values.
#ifndef CHIVELEVER_STATE_BASE64_HPP
#define CHIVELEVER_STATE_BASE64_HPP

#include <optional>
#include <string>
#include <string_view>

namespace chivelever
{

// Returns nullopt if `text` is not valid Base64.
std::optional<std::string> from_base64(std::string_view text);
std::string to_base64(std::string_view bytes);

} // namespace chivelever

#endif
