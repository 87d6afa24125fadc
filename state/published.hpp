// A shared value that one thread replaces as a whole and many threads read without contention.
#ifndef CHIVELEVER_STATE_PUBLISHED_HPP
#define CHIVELEVER_STATE_PUBLISHED_HPP

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <utility>

namespace chivelever
{

template<class T>
class published
{
public:
    using pointer = std::shared_ptr<T const>;

    explicit published(pointer initial = nullptr) : value_(std::move(initial)) {}

    void set(pointer next)
    {
        std::lock_guard const lock(mutex_);
        value_ = std::move(next);
        version_.fetch_add(1, std::memory_order_release);
    }
    pointer get() const
    {
        std::lock_guard const lock(mutex_);
        return value_;
    }

    // Cached copy of one reader thread. Checking it costs one atomic load while the value is
    // unchanged; copying the shared_ptr per packet would make all threads contend for its
    // reference count.
    class reader
    {
    public:
        explicit reader(published const& source) : source_(&source) {}
        // The copy cached by the last refresh(); pointers into it stay valid until the next
        // refresh().
        T const& operator*() const { return *cached_; }
        T const* operator->() const { return cached_.get(); }
        // Updates the cached copy if the value has been replaced, and returns it.
        pointer const& refresh()
        {
            std::uint64_t const version = source_->version_.load(std::memory_order_acquire);
            if (version != cached_version_)
            {
                cached_ = source_->get();
                cached_version_ = version;
            }
            return cached_;
        }

    private:
        published const* source_;
        pointer cached_;
        std::uint64_t cached_version_{~std::uint64_t{0}};
    };

private:
    mutable std::mutex mutex_;
    pointer value_;
    std::atomic<std::uint64_t> version_{0};
};

} // namespace chivelever

#endif
