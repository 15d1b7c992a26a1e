/// @file
/// Admission under load: outcomes with the production queue ("new"), with the same queue without early refusals of late requests
/// ("hold") and with a FIFO queue that times out early ("plain").
/// Usage: bench_admission SEED [--csv]. Prints one row for each load and queue, as CSV with --csv.

#include <cstdio>
#include <cstdlib>
#include <cstring>

#include "admission_model.h"

using namespace admission_model;

namespace {

constexpr std::uint64_t seedsPerRow = 10;

void print(const char* queueName, const Load& load, const Outcome& outcome, bool isCsv)
{
    const auto share = [&](std::size_t count) { return static_cast<double>(count) / static_cast<double>(outcome.requests); };
    std::printf(isCsv ? "%s,%.2f,%zu,%.4f,%.4f,%.4f,%.3f,%zu,%.0f\n" : "%-6s burst x%.2f  requests %5zu  on time %.4f  late %.4f  refused %.4f  attempts %.3f  most returns in 0.1 s %4zu  refused after %.0f ms\n",
        queueName, load.burstFactor, outcome.requests, share(outcome.onTime), share(outcome.late), share(outcome.refused), share(outcome.attempts), outcome.maxReturns(), outcome.meanHeldMs());
}

} // namespace

int main(int argc, char** argv)
{
    const auto seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    const bool isCsv = argc > 2 && std::strcmp(argv[2], "--csv") == 0;
    if (isCsv)
        std::puts("rule,burst,requests,on_time,late,refused,attempts,most_returns,held_ms");
    for (const double burst : { 1.0, 1.2, 1.5, 1.71, 1.8, 2.2, 3.0 }) {
        Load load;
        load.burstFactor = burst;
        Outcome fifo;
        Outcome holding;
        Outcome production;
        for (std::uint64_t run = 0; run < seedsPerRow; ++run) {
            fifo += simulate<FifoQueue>(load, seed + run);
            holding += simulate<HoldingQueue>(load, seed + run);
            production += simulate<ProductionQueue>(load, seed + run);
        }
        print("plain", load, fifo, isCsv);
        print("hold", load, holding, isCsv);
        print("new", load, production, isCsv);
    }
}
