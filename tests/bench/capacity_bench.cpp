/** Measures the figures of docs/CAPACITY.md: memory, processor time and bytes by number of programs, servers and messages. Prints "name:
 * value unit". */
#include "link_codec.h"

#include "vanillahall/adapters/row_codec_func.h"
#include "vanillahall/core/customer/customer_directory_base.h"
#include "vanillahall/core/program_registry_base.h"
#include "vanillahall/core/server_registry_base.h"
#include "vanillahall/core/store_budget_base.h"
#include "vanillahall/core/worker_registry_base.h"
#include "vanillahall/platform/wire_store_func.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include <malloc.h>

namespace Vanillahall {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t TurnTextBytes = 1200; ///< Size of input and response of one turn.
constexpr std::uint32_t TurnsPerProgram = 20;
constexpr int CallsPerMeasurement = 2000;      ///< Calls per measurement.
constexpr int ListUpdatesPerMeasurement = 100; ///< Updates of the server list per measurement.
constexpr std::size_t Customers = 1700;        ///< Customers at the design size.
constexpr std::size_t ApiKeys = 5000;          ///< Their API keys together.
constexpr std::size_t ApiKeyBytes = 40;        ///< Length of an API key.

/** Cost measured at one size. */
struct Sample
{
    double size; ///< Number of items.
    double cost; ///< Their total cost.
};

/** Linear least-squares fit of samples. */
struct LinearFit
{
    double slope;  ///< Cost per item.
    double spread; ///< Largest deviation from the line, relative to the largest cost.
};

LinearFit fit(const std::vector<Sample> &samples)
{
    double sumX = 0;
    double sumY = 0;
    double sumXx = 0;
    double sumXy = 0;
    const auto n = static_cast<double>(samples.size());
    for (const auto &it : samples) {
        sumX += it.size;
        sumY += it.cost;
        sumXx += it.size * it.size;
        sumXy += it.size * it.cost;
    }
    LinearFit line{};
    line.slope = (n * sumXy - sumX * sumY) / (n * sumXx - sumX * sumX);
    const double base = (sumY - line.slope * sumX) / n;
    double largest = 0;
    for (const auto &it : samples) {
        line.spread = std::max(line.spread, std::abs(it.cost - base - line.slope * it.size));
        largest = std::max(largest, it.cost);
    }
    line.spread /= largest;
    return line;
}

void print(const std::string &name, double value, const char *unit)
{
    std::printf("%s: %.3f %s\n", name.c_str(), value, unit);
}

void printFit(const std::string &name, const std::vector<Sample> &samples, const char *unit)
{
    constexpr double Percent = 100;
    const LinearFit line = fit(samples);
    print(name, line.slope, unit);
    print(name + "_spread", line.spread * Percent, "percent");
}

double allocatedBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

double microseconds(const std::function<void()> &work)
{
    const auto began = std::chrono::steady_clock::now();
    work();
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - began).count();
}

ProgramId programNumber(std::uint64_t number)
{
    return ProgramId{ShardId{1}, number};
}

ProgramCreated createdRecord(std::uint64_t number)
{
    ProgramCreated record;
    record.program = record.parent = programNumber(number);
    record.customer = CustomerName{"customer-" + std::to_string(number % 1700)};
    record.className = ClassName{"diagnosis"};
    return record;
}

TurnFinished turnRecord(std::uint64_t program, std::uint32_t turn)
{
    TurnFinished record;
    record.key = CallKey{programNumber(program), Turn{turn}};
    record.input = ModelInput{ModelName{"bell-diagnosis"}, {std::string(TurnTextBytes / 2, 'q')}, 256};
    CallResult result;
    result.body = std::string(TurnTextBytes / 2, 'a');
    record.outcome = result;
    record.server = ServerName{"model-" + std::to_string(program % 10)};
    return record;
}

void measurePrograms()
{
    std::vector<Sample> samples;
    for (const std::uint64_t programs : {100, 200, 400, 800}) {
        const double before = allocatedBytes();
        ProgramRegistry registry;
        for (std::uint64_t n = 0; n < programs; n++) {
            registry.apply(createdRecord(n));
            for (std::uint32_t turn = 1; turn <= TurnsPerProgram; turn++) {
                registry.apply(turnRecord(n, turn));
            }
        }
        samples.push_back({static_cast<double>(programs), allocatedBytes() - before});
    }
    const LinearFit line = fit(samples);
    printFit("memory_per_program_of_20_turns", samples, "bytes");
    print("memory_per_turn_beyond_its_text", line.slope / TurnsPerProgram - TurnTextBytes, "bytes");
}

GateStatus statusOf(std::uint32_t number)
{
    GateStatus status;
    status.server = ServerName{"model-" + std::to_string(number)};
    status.zone = ZoneName{"zone-" + std::to_string(number % 20)};
    status.incarnation = Incarnation{number + 1};
    status.models = {ModelName{"bell-diagnosis"}};
    status.serverUp = true;
    status.slots = 8;
    status.running = number % 8;
    return status;
}

WorkerRegistry registryOf(std::uint32_t workers)
{
    WorkerRegistry registry(ZoneName{"zone-1"});
    std::vector<VmListing> vms;
    for (std::uint32_t n = 0; n < workers; n++) {
        const GateStatus status = statusOf(n);
        vms.push_back({status.server.text, VmRole::Server, "10.0.0.1:" + std::to_string(n), status.zone, VmState::Live});
    }
    registry.onVmList(vms, TimePoint(1s));
    for (std::uint32_t n = 0; n < workers; n++) {
        registry.onStatus(statusOf(n), TimePoint(1s));
    }
    return registry;
}

void measureWorkers()
{
    std::vector<Sample> memory;
    for (const std::uint32_t workers : {100, 370, 1100, 2200}) {
        const double before = allocatedBytes();
        WorkerRegistry registry = registryOf(workers);
        memory.push_back({static_cast<double>(workers), allocatedBytes() - before});
        PlacementRequest request;
        request.model = ModelName{"bell-diagnosis"};
        request.promptTokens = 1000;
        request.outputTokens = 100;
        Error reason;
        const double choice = microseconds([&] {
            for (int n = 0; n < CallsPerMeasurement; n++) {
                request.key = CallKey{programNumber(static_cast<std::uint64_t>(n)), Turn{1}};
                registry.choose(request, TimePoint(2s), reason);
            }
        });
        print("choice_among_" + std::to_string(workers) + "_workers", choice / CallsPerMeasurement, "us");
        const double report = microseconds([&] {
            for (int n = 0; n < CallsPerMeasurement; n++) {
                registry.onStatus(statusOf(static_cast<std::uint32_t>(n) % workers), TimePoint(2s));
            }
        });
        print("load_report_among_" + std::to_string(workers) + "_workers", report / CallsPerMeasurement, "us");
    }
    printFit("memory_per_known_worker", memory, "bytes");
}

/** Measures the choice of a server where all servers belong to one service, each has reported a load, and costs have been learned. */
void measureProxyChoice(Forward::Placement placement, const std::string &name)
{
    constexpr std::uint32_t Servers = 2200;
    std::vector<Forward::Server> list;
    for (std::uint32_t n = 0; n < Servers; n++) {
        Forward::Server it;
        it.id = "i-" + std::to_string(n) + "0123456789";
        it.service = "service";
        it.zone = "zone-" + std::to_string(n % 20);
        it.slots = 8;
        it.models = {"m"};
        list.push_back(it);
    }
    Forward::ChoiceSettings settings;
    settings.placement = placement;
    Forward::ServerRegistry registry("zone-1", settings);
    registry.update(list, false, TimePoint(1s));
    Forward::RequestAttributes attributes;
    attributes.model = "m";
    attributes.object = "object";
    attributes.lengthHint = 100;
    for (std::uint64_t n = 0; n < 10; n++) {
        attributes.promptParts.push_back({n, 500});
        attributes.promptTokens += 500;
    }
    const std::set<std::string> none;
    Forward::ChoiceRequest request{"service", &attributes, 210, &none, {}};
    request.route = "route";
    request.isSticky = true;
    const auto chooseAndEnd = [&](int n, TimePoint now) {
        attributes.program = attributes.requestId = "program-" + std::to_string(n);
        const auto chosen = registry.choose(request, now);
        registry.recordStart(*chosen, attributes, now);
        registry.recordEnd(*chosen, {now, now + 20ms, 50, true}, now + 300ms);
    };
    for (std::uint32_t n = 0; n < Servers; n++) {
        registry.recordLoad(list[n].id, {n % 8, n % 3, 8, 1.5}, TimePoint(2s));
        registry.recordEventInterval(list[n].id, 6ms, TimePoint(2s));
    }
    const double choice = microseconds([&] {
        for (int n = 0; n < CallsPerMeasurement; n++) {
            chooseAndEnd(n, TimePoint(2s) + 1ms * n);
        }
    });
    print("proxy_choice_among_2200_servers_of_one_service_" + name, choice / CallsPerMeasurement, "us");
}

void measurePlacementMemory()
{
    double before = allocatedBytes();
    Forward::WorkEstimator estimator;
    for (std::uint64_t n = 1; n <= Forward::MaxWorkKinds; n++) {
        Forward::WorkFeatures features;
        features.kind.route = n;
        estimator.record(features, {}, Forward::Milliseconds(1), 0, 1, TimePoint(1s));
    }
    print("memory_of_all_work_kinds", allocatedBytes() - before, "bytes");
    before = allocatedBytes();
    Forward::ObjectDirectory objects;
    for (std::uint64_t n = 1; n <= Forward::MaxObjects; n++) {
        objects.record(n, n);
    }
    print("memory_of_all_objects", allocatedBytes() - before, "bytes");
}

/** Measures a proxy's server registry with 8 services of equal size and prompts of ten parts, some of them cached at servers. */
void measureProxyServers()
{
    std::vector<Sample> memory;
    for (const std::uint32_t servers : {100, 370, 1100, 2200}) {
        std::vector<Forward::Server> list;
        for (std::uint32_t n = 0; n < servers; n++) {
            Forward::Server it;
            it.id = "i-" + std::to_string(n) + "0123456789";
            it.service = "service-" + std::to_string(n % 8);
            it.address = "10.20.30.40";
            it.zone = "zone-" + std::to_string(n % 20);
            it.slots = 24;
            it.models = {"m"};
            list.push_back(it);
        }
        const double before = allocatedBytes();
        Forward::ServerRegistry registry("zone-1", {});
        registry.update(list, false, TimePoint(1s));
        memory.push_back({static_cast<double>(servers), allocatedBytes() - before});
        Forward::RequestAttributes attributes;
        attributes.program = "program";
        attributes.model = "m";
        for (std::uint64_t n = 0; n < 10; n++) {
            attributes.promptParts.push_back({n, 500});
            attributes.promptTokens += 500;
        }
        const std::set<std::string> none;
        const Forward::ChoiceRequest request{"service-1", &attributes, 210, &none, {}};
        const double choice = microseconds([&] {
            for (int n = 0; n < CallsPerMeasurement; n++) {
                attributes.program = "program-" + std::to_string(n);
                const auto chosen = registry.choose(request, TimePoint(2s));
                registry.recordStart(chosen->server.id, 0, attributes, TimePoint(2s));
                registry.recordEnd(chosen->server.id, 0, true);
            }
        });
        print("proxy_choice_among_" + std::to_string(servers) + "_servers", choice / CallsPerMeasurement, "us");
        const double update = microseconds([&] {
            for (int n = 0; n < ListUpdatesPerMeasurement; n++) {
                registry.update(list, false, TimePoint(2s));
            }
        });
        print("proxy_list_of_" + std::to_string(servers) + "_servers", update / ListUpdatesPerMeasurement, "us");
    }
    printFit("memory_per_server_of_a_proxy", memory, "bytes");
    Forward::ServerRegistry registry("zone-1", {});
    Forward::Server server;
    server.id = "i-0123456789";
    registry.update({server}, false, TimePoint(1s));
    std::vector<Sample> parts;
    const double before = allocatedBytes();
    for (std::uint64_t n = 0; n < Forward::MaxPromptParts; n++) {
        Forward::RequestAttributes attributes;
        attributes.promptParts = {{n, 500}};
        registry.recordStart(server.id, 0, attributes, TimePoint(1s));
        if ((n + 1) % (Forward::MaxPromptParts / 4) == 0) {
            parts.push_back({static_cast<double>(n + 1), allocatedBytes() - before});
        }
    }
    printFit("memory_per_prompt_part_of_a_proxy", parts, "bytes");
}

void measureMessages()
{
    Probe probe;
    probe.sequence = UINT32_MAX;
    print("probe_message", static_cast<double>(encodeLinkMessage(EntryToGate(probe)).size()), "bytes");
    print("gate_status_message", static_cast<double>(encodeLinkMessage(GateToEntry(statusOf(1))).size()), "bytes");
    EntryStatus status;
    status.entry = EntryName{"entry-1"};
    status.zone = ZoneName{"zone-1"};
    status.incarnation = Incarnation{UINT64_MAX};
    std::vector<Sample> samples;
    for (const std::uint64_t shards : {1, 2, 4, 8}) {
        status.leases.assign(
            shards, HeldLease{ShardId{UINT64_MAX}, Epoch{9}, RowVersion{UINT32_MAX}, {EntryName{"entry-2"}, EntryName{"entry-3"}}});
        samples.push_back({static_cast<double>(shards), static_cast<double>(encodeLinkMessage(EntryToEntry(status)).size())});
    }
    print("entry_status_message_of_1_shard", samples.front().cost, "bytes");
    printFit("entry_status_per_further_shard", samples, "bytes");
    std::vector<Sample> tokens;
    for (const std::size_t pieces : {1, 4, 16}) {
        CallTokens message;
        message.key = CallKey{programNumber(UINT64_MAX), Turn{3}};
        message.pieces.assign(pieces, "token");
        tokens.push_back({static_cast<double>(pieces), static_cast<double>(encodeLinkMessage(GateToEntry(message)).size())});
    }
    print("token_message_of_1_token", tokens.front().cost, "bytes");
    printFit("token_message_per_further_token", tokens, "bytes");
}

void measureRows()
{
    std::vector<Sample> segments;
    for (const std::uint32_t turns : {1, 4, 16, 64}) {
        Segment segment;
        for (std::uint32_t n = 0; n < turns; n++) {
            segment.records.emplace_back(turnRecord(n, 1));
        }
        segments.push_back({static_cast<double>(turns), static_cast<double>(encodeRow(segment).size())});
    }
    const LinearFit line = fit(segments);
    print("segment_bytes_per_turn_beyond_its_text", line.slope - TurnTextBytes, "bytes");
    LeaseRow lease;
    lease.owner = EntryName{"entry-1"};
    lease.successors = {EntryName{"entry-2"}, EntryName{"entry-3"}};
    print("lease_row", static_cast<double>(encodeRow(lease).size()), "bytes");
    const Segment segment{SegmentNumber{1}, RecordNumber{1}, {turnRecord(1, 1)}};
    const double time = microseconds([&] {
        for (int n = 0; n < CallsPerMeasurement; n++) {
            encodeRow(segment);
        }
    });
    print("encode_segment_of_1_turn", time / CallsPerMeasurement, "us");
}

/** @return Configuration of the design size, as stored. */
std::string customersText()
{
    std::string text = R"({"version":1,"routes":[],"services":[],"tenants":[)";
    std::size_t key = 0;
    for (std::size_t n = 0; n < Customers; n++) {
        text += (n == 0 ? "" : ",") + std::string(R"({"name":"customer-)") + std::to_string(n)
            + R"(","priority":1,"ratePerS":5,"burst":10,"apiKeys":[)";
        for (bool isFirst = true; key < ApiKeys * (n + 1) / Customers; key++, isFirst = false) {
            text += (isFirst ? "\"" : ",\"") + std::to_string(key) + std::string(ApiKeyBytes - std::to_string(key).size(), 'k') + '"';
        }
        text += "]}";
    }
    return text + "]}";
}

void measureCustomers()
{
    const auto text = customersText();
    print("configuration_of_1700_customers", static_cast<double>(text.size()), "bytes");
    std::optional<Forward::Config> config;
    Error reason;
    const double before = allocatedBytes();
    print("configuration_of_1700_customers_decoded_in",
          microseconds([&] {
              config = Platform::decodeConfig(text, reason);
          }),
          "us");
    const double decoded = allocatedBytes();
    Forward::CustomerDirectory directory;
    print("configuration_of_1700_customers_applied_in",
          microseconds([&] {
              directory.apply(*config);
          }),
          "us");
    print("memory_of_1700_customers_in_the_configuration", decoded - before, "bytes");
    print("memory_of_1700_customers_in_the_directory", allocatedBytes() - decoded, "bytes");
    std::size_t found = 0;
    const double lookups = microseconds([&] {
        for (const auto &it : config->customers) {
            for (const auto &key : it.keys) {
                found += std::holds_alternative<Forward::CustomerIdentity>(directory.identify(true, key, {})) ? 1 : 0;
            }
        }
    });
    print("lookup_among_" + std::to_string(found) + "_api_keys", lookups / static_cast<double>(found), "us");
}

void measureBudget()
{
    for (const std::uint32_t entries : {2, 42, 420}) {
        StoreBudget budget{StoreBudgetSettings(), ShardLogSettings()};
        budget.setEntries(entries);
        const double renewal = std::chrono::duration<double>(budget.renewInterval()).count();
        print("renewal_interval_with_" + std::to_string(entries) + "_entries", renewal, "s");
        print("commit_window_with_" + std::to_string(entries) + "_entries",
              std::chrono::duration<double>(budget.commitWindow()).count(),
              "s");
        print("lease_writes_with_" + std::to_string(entries) + "_entries", entries / renewal, "writes_per_s");
    }
}

} // namespace

} // namespace Vanillahall

int main()
{
    Vanillahall::measurePrograms();
    Vanillahall::measureWorkers();
    Vanillahall::measureProxyServers();
    Vanillahall::measurePlacementMemory();
    Vanillahall::measureProxyChoice(Vanillahall::Forward::Placement::Learned, "learned");
    Vanillahall::measureProxyChoice(Vanillahall::Forward::Placement::Fixed, "fixed");
    Vanillahall::measureMessages();
    Vanillahall::measureRows();
    Vanillahall::measureBudget();
    Vanillahall::measureCustomers();
    return 0;
}
