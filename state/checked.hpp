// Result of a validation: a value, or a Boost.LEAF error with the findings for which the input was
// rejected.
#ifndef CHIVELEVER_STATE_CHECKED_HPP
#define CHIVELEVER_STATE_CHECKED_HPP

#include "state/findings.hpp"

#include <boost/leaf.hpp>
#include <optional>
#include <utility>

namespace chivelever
{

template<class T>
using checked = boost::leaf::result<T>;

// Creates an error from findings.
inline boost::leaf::error_id findings_error(findings problems)
{
    return boost::leaf::new_error(std::move(problems));
}

// Calls f, which returns checked<T>. Returns its value, or appends the findings to `problems` and
// returns nullopt. LEAF keeps the findings of an error only inside such a handling scope.
template<class F>
auto value_or_findings(F&& f, findings& problems)
{
    using value_type = std::decay_t<decltype(f().value())>;
    return boost::leaf::try_handle_all(
        [&]() -> checked<std::optional<value_type>>
        {
            checked<value_type> r = std::forward<F>(f)();
            if (!r)
                return r.error();
            return std::optional<value_type>(std::move(*r));
        },
        [&](findings const& found) -> std::optional<value_type>
        {
            problems.insert(problems.end(), found.begin(), found.end());
            return std::nullopt;
        },
        [&]() -> std::optional<value_type>
        {
            problems.push_back({"", "", "", 0, "validation failed without reporting a finding"});
            return std::nullopt;
        });
}

} // namespace chivelever

#endif
