/// Admission under load: what callers get by the product's rule and by first come, first served with a short patience.
/// Usage: bench_admission SEED [--csv]: a row a load and rule; with --csv for a table or a plot.

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "admission_model.h"

using namespace admission_model;

namespace {

constexpr std::uint64_t runs = 10; ///< Seeds of a row.

void print(const char* rule, const Load& load, const Outcome& outcome, bool isCsv)
{
    const auto share = [&](std::size_t count) { return static_cast<double>(count) / static_cast<double>(outcome.requests); };
    std::printf(isCsv ? "%s,%.2f,%zu,%.4f,%.4f,%.4f,%.3f,%zu\n" : "%-6s burst x%.2f  requests %5zu  on time %.4f  late %.4f  refused %.4f  attempts %.3f  most returns in 0.1 s %zu\n",
        rule, load.burst, outcome.requests, share(outcome.onTime), share(outcome.late), share(outcome.refused), share(outcome.attempts), outcome.mostReturns());
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const bool isCsv = argc > 2 && std::strcmp(argv[2], "--csv") == 0;
    if (isCsv)
        std::puts("rule,burst,requests,on_time,late,refused,attempts,most_returns");
    for (const double burst : { 1.0, 1.2, 1.5, 1.8, 2.2, 3.0 }) {
        Load load;
        load.burst = burst;
        Outcome plain;
        Outcome product;
        for (std::uint64_t run = 0; run < runs; ++run) {
            plain += play<PlainQueue>(load, seed + run);
            product += play<NewQueue>(load, seed + run);
        }
        print("plain", load, plain, isCsv);
        print("new", load, product, isCsv);
    }
}
