// Public header of the admission library.
#ifndef CHIVELEVER_ADMISSION_ADMISSION_HPP
#define CHIVELEVER_ADMISSION_ADMISSION_HPP

// IWYU pragma: begin_exports
#include "admission/caller_share.hpp"
#include "admission/capacity_admission.hpp"
#include "admission/capacity_share.hpp"
#include "admission/max_min_share.hpp"
#include "admission/slow_start.hpp"
// IWYU pragma: end_exports

#endif
