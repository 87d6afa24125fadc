// A value that one thread replaces as a whole and many threads read without contention.
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

    explicit published(pointer first = nullptr) : value_(std::move(first)) {}

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

    // A reader's copy. It costs one atomic load as long as the value is unchanged; a shared_ptr
    // taken for each packet would make all threads contend for its reference count.
    class reader
    {
    public:
        explicit reader(published const& source) : source_(&source) {}
        // The copy taken by the last fresh(): pointers into it stay valid until the next one.
        T const& operator*() const { return *copy_; }
        T const* operator->() const { return copy_.get(); }
        pointer const& fresh()
        {
            std::uint64_t const version = source_->version_.load(std::memory_order_acquire);
            if (version != seen_)
            {
                copy_ = source_->get();
                seen_ = version;
            }
            return copy_;
        }

    private:
        published const* source_;
        pointer copy_;
        std::uint64_t seen_{~std::uint64_t{0}};
    };

private:
    mutable std::mutex mutex_;
    pointer value_;
    std::atomic<std::uint64_t> version_{0};
};

} // namespace chivelever

#endif
