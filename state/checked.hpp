// The result of a check: a value, or the findings that refuse it. Boost.LEAF carries the findings.
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

// An error that carries findings.
inline boost::leaf::error_id refuse(findings problems)
{
    return boost::leaf::new_error(std::move(problems));
}

// Runs f, which returns checked<T>. Returns the value, or nothing and appends the findings to
// `problems`. LEAF keeps an error's findings only inside such a handling scope.
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
            problems.push_back({"", "", "", 0, "failed without a finding"});
            return std::nullopt;
        });
}

} // namespace chivelever

#endif
