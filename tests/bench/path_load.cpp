/** Load generator: runs programs of model turns through an entry, or the same calls directly at an engine. Prints "name: value unit". */
#include "vanillahall/net/http_client_base.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace Vanillahall {

namespace {

using Json = nlohmann::json;

constexpr double MicrosecondsPerMillisecond = 1000;

/** Target and size of the load. */
struct LoadPlan
{
    std::string name;         ///< Prefix of the printed figures.
    std::string address;      ///< IP address of the entry or engine.
    std::uint16_t port{};     ///< Port of the entry or engine.
    std::string token;        ///< Access token of the customer; empty for direct calls to an engine.
    std::uint32_t programs{}; ///< Number of concurrent programs.
    std::uint32_t turns{};    ///< Turns of each program.
    std::uint32_t tokens{};   ///< Length of each response in tokens.
};

/** Measured latencies and failures. */
struct LoadResult
{
    std::vector<double> firstToken; ///< Milliseconds until the first part of the response body of each call.
    std::vector<double> total;      ///< Milliseconds until the end of each call.
    std::uint64_t failed{};         ///< Calls without a successful response.
};

double millisecondsSince(TimePoint began)
{
    return static_cast<double>((Loop::now() - began).count()) / MicrosecondsPerMillisecond;
}

/** Client of one program: creates it, then sends its turns in sequence. */
class LoadProgram
{
public:
    LoadProgram(Loop &loop, HttpClient &client, const LoadPlan &plan, LoadResult &result, std::uint32_t number, std::uint32_t &running)
        : m_loop(loop)
        , m_client(client)
        , m_plan(plan)
        , m_result(result)
        , m_number(number)
        , m_running(running)
    {
    }

    void start()
    {
        if (m_plan.token.empty()) {
            sendTurn();
            return;
        }
        const Json budget = {{"tokens", 100000000}, {"calls", 100000}, {"seconds", 3600}};
        HttpClientRequest request = makeRequest("/v1/programs", {{"class", "diagnosis"}, {"budget", budget}});
        HttpClientHandlers handlers;
        handlers.onBody = [this](std::string_view piece) {
            m_body += piece;
        };
        handlers.onEnd = [this] {
            const Json body = Json::parse(m_body, nullptr, false);
            m_program = body.is_object() ? body.value("program", "") : "";
            if (m_program.empty()) {
                finish(false);
            } else {
                sendTurn();
            }
        };
        handlers.onFailure = [this](const HttpFailure &) {
            finish(false);
        };
        m_client.send(std::move(request), std::move(handlers));
    }

private:
    HttpClientRequest makeRequest(const std::string &path, const Json &body) const
    {
        HttpClientRequest request;
        request.address = m_plan.address;
        request.port = m_plan.port;
        request.method = "POST";
        request.path = path;
        request.body = body.dump();
        if (!m_plan.token.empty()) {
            request.headers.push_back({"authorization", "Bearer " + m_plan.token});
        }
        return request;
    }

    HttpClientRequest turnRequest() const
    {
        const std::string text = "program " + std::to_string(m_number) + " turn " + std::to_string(m_turn);
        Json body = {{"model", "bell-diagnosis"},
                     {"max_tokens", m_plan.tokens},
                     {"stream", true},
                     {"messages", Json::array({{{"role", "user"}, {"content", text}}})}};
        if (m_plan.token.empty()) {
            body["request_id"] = m_plan.name + "-" + std::to_string(m_number) + "-" + std::to_string(m_turn);
            return makeRequest("/v1/chat/completions", body);
        }
        body["turn"] = m_turn;
        body["kind"] = "model";
        return makeRequest("/v1/programs/" + m_program + "/calls", body);
    }

    void sendTurn()
    {
        m_turn++;
        if (m_turn > m_plan.turns) {
            finish(true);
            return;
        }
        m_began = Loop::now();
        m_first = true;
        m_good = false;
        HttpClientHandlers handlers;
        handlers.onHead = [this](std::uint32_t status) {
            constexpr std::uint32_t Ok = 200;
            m_good = status == Ok;
        };
        handlers.onBody = [this](std::string_view) {
            if (m_first) {
                m_result.firstToken.push_back(millisecondsSince(m_began));
            }
            m_first = false;
        };
        handlers.onEnd = [this] {
            m_result.total.push_back(millisecondsSince(m_began));
            m_result.failed += m_good ? 0 : 1;
            sendTurn();
        };
        handlers.onFailure = [this](const HttpFailure &) {
            m_result.failed++;
            sendTurn();
        };
        m_client.send(turnRequest(), std::move(handlers));
    }

    void finish(bool good)
    {
        m_result.failed += good ? 0 : 1;
        if (--m_running == 0) {
            m_loop.stop();
        }
    }

    Loop &m_loop;
    HttpClient &m_client;
    const LoadPlan &m_plan;
    LoadResult &m_result;
    std::uint32_t m_number;
    std::uint32_t &m_running;
    std::string m_program;
    std::string m_body;
    std::uint32_t m_turn = 0;
    TimePoint m_began;
    bool m_first = true;
    bool m_good = false;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(share * static_cast<double>(values.size()));
    return values[std::min(index, values.size() - 1)];
}

void printResult(const LoadPlan &plan, const LoadResult &result, double seconds)
{
    const auto print = [&plan](const char *what, double value, const char *unit) {
        std::printf("%s_%s: %.3f %s\n", plan.name.c_str(), what, value, unit);
    };
    print("first_token_p50", quantile(result.firstToken, 0.5), "ms");
    print("first_token_p99", quantile(result.firstToken, 0.99), "ms");
    print("call_p50", quantile(result.total, 0.5), "ms");
    print("call_p99", quantile(result.total, 0.99), "ms");
    print("calls_per_second", static_cast<double>(result.total.size()) / seconds, "1/s");
    print("calls", static_cast<double>(result.total.size()), "calls");
    print("failed", static_cast<double>(result.failed), "calls");
}

int run(const LoadPlan &plan)
{
    Loop loop;
    HttpClient client(loop);
    LoadResult result;
    std::uint32_t running = plan.programs;
    std::vector<std::unique_ptr<LoadProgram>> programs;
    for (std::uint32_t n = 0; n < plan.programs; n++) {
        programs.push_back(std::make_unique<LoadProgram>(loop, client, plan, result, n, running));
        programs.back()->start();
    }
    const TimePoint began = Loop::now();
    loop.run();
    printResult(plan, result, std::chrono::duration<double>(Loop::now() - began).count());
    return result.failed == 0 ? 0 : 1;
}

} // namespace

} // namespace Vanillahall

int main(int argc, char **argv)
{
    constexpr int ArgumentCount = 8;
    if (argc != ArgumentCount) {
        std::fprintf(stderr, "path_load NAME ADDRESS PORT TOKEN|- PROGRAMS TURNS TOKENS\n");
        return 2;
    }
    Vanillahall::LoadPlan plan;
    plan.name = argv[1];
    plan.address = argv[2];
    plan.port = static_cast<std::uint16_t>(std::atoi(argv[3]));
    plan.token = std::string(argv[4]) == "-" ? "" : argv[4];
    plan.programs = static_cast<std::uint32_t>(std::atoi(argv[5]));
    plan.turns = static_cast<std::uint32_t>(std::atoi(argv[6]));
    plan.tokens = static_cast<std::uint32_t>(std::atoi(argv[7]));
    return Vanillahall::run(plan);
}
