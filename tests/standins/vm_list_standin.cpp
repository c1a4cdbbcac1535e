#include "vm_list_standin_base.h"

#include <cstdlib>

namespace Vanillahall {

namespace {

constexpr std::uint32_t BadRequest = 400;
constexpr std::uint32_t NotFound = 404;
constexpr std::string_view VmsPath = "/v1/vms/";
constexpr std::size_t MaxHistory = 100; ///< Limit of retained states of the list.

} // namespace

VmListStandin::VmListStandin(Loop &loop, const std::string &address, std::uint16_t port, Duration lag)
    : m_lag(lag)
    , m_history{Snapshot{}}
    , m_server(loop,
               address,
               port,
               {},
               StandinServer::Handlers{[this](HttpExchangeId exchange, const HttpRequest &request) {
                                           handle(exchange, request);
                                       },
                                       {},
                                       [](HttpExchangeId /*exchange*/) {
                                           std::_Exit(EXIT_FAILURE);
                                       }})
{
}

StandinServer &VmListStandin::server()
{
    return m_server;
}

void VmListStandin::handle(HttpExchangeId exchange, const HttpRequest &request)
{
    if (request.method == "GET" && request.path == "/v1/vms") {
        m_server.answer(exchange, view(m_server.faultOf(exchange).kind == FaultKind::Stale));
    } else if (request.path.starts_with(VmsPath)) {
        change(exchange, request, percentDecode(request.path.substr(VmsPath.size())));
    } else {
        m_server.answer(exchange, {{"error", "no such path"}}, NotFound);
    }
}

void VmListStandin::change(HttpExchangeId exchange, const HttpRequest &request, const std::string &name)
{
    List list = m_history.back().list;
    if (request.method == "DELETE") {
        list.erase(name);
    } else {
        auto json = nlohmann::json::parse(request.body, nullptr, false);
        if (!json.is_object()) {
            m_server.answer(exchange, {{"error", "not a VM"}}, BadRequest);
            return;
        }
        json["name"] = name;
        list[name] = std::move(json);
    }
    m_history.push_back(Snapshot{Loop::now(), std::move(list)});
    if (m_history.size() > MaxHistory) {
        m_history.pop_front();
    }
    m_server.answer(exchange, nlohmann::json::object());
}

nlohmann::json VmListStandin::view(bool stale)
{
    const TimePoint time = Loop::now() - m_lag;
    std::size_t n = m_history.size() - 1;
    while (n > 0 && m_history[n].from > time) {
        n--;
    }
    if (stale && n > 0) {
        n--;
    }
    nlohmann::json vms = nlohmann::json::array();
    for (const auto &[name, vm] : m_history[n].list) {
        vms.push_back(vm);
    }
    return {{"vms", std::move(vms)}};
}

} // namespace Vanillahall
