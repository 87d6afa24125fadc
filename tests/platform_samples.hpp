// Valid values of the platform's store, for tests and fuzz targets that change parts of them.
#ifndef CHIVELEVER_TESTS_PLATFORM_SAMPLES_HPP
#define CHIVELEVER_TESTS_PLATFORM_SAMPLES_HPP

#include <string>

namespace sample
{

inline std::string const upstream_entry =
    R"({"service":"desk","address":"10.128.0.9:8080","zone":"akl","version":"v1",)"
    R"("maxConcurrency":2,"state":"ready","warmupLeftMs":250,"sequence":4,"born":1700000000123})";

inline std::string const edge_config =
    R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":"/8080/","timeoutMs":2500,)"
    R"("targetLatencyMs":150,"priority":1,"service":"desk"},{"host":"198.18.0.1",)"
    R"("prefix":"/8443/","backends":[{"service":"desk","weight":90}]}],"services":)"
    R"([{"name":"desk","warmupS":2.0,"warmupPerS":4.5}],"limits":{"idleTimeoutMs":15000}})";

inline std::string const store_page =
    R"({"items":[{"key":"servers/i-1","value":"e30=","revision":3},{"key":"servers/i-2",)"
    R"("value":"e30=","revision":4}],"hasMore":true,"asOf":9})";

} // namespace sample

#endif
