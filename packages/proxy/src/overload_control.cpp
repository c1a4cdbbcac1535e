#include "overload_control.h"

#include "proxy_clock.h"
#include "proxy_state.h"

#include <sstream>

namespace Vanillahall::Forward {

namespace {

constexpr Duration UpdateInterval
    = std::chrono::milliseconds(50); ///< The slots of all servers are added up for each evaluation, so not for each request.
constexpr Duration LineInterval = std::chrono::milliseconds(200); ///< Interval between lines of one kind; the metrics count everything.

std::int64_t ms(Duration span)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

std::string viewText(const SaturationView &view)
{
    std::ostringstream text;
    text << " refusal_share=" << view.refusalShare << " delay_ratio=" << view.delayRatio << " work_ratio=" << view.workRatio
         << " stretch=" << view.stretch << " turns_per_s=" << view.turnsPerSecond << " sample_age_ms=" << ms(view.sampleAge);
    return text.str();
}

} // namespace

bool ProxyState::isAdmissionOn() const
{
    return settings.restrictsAdmission || customers.hasCustomers();
}

bool OverloadControl::LineLimit::claim(TimePoint now)
{
    if (loggedAt && now - *loggedAt < LineInterval) {
        leftOut++;
        return false;
    }
    loggedAt = now;
    return true;
}

OverloadControl::OverloadControl(boost::asio::io_context &loop)
    : queue(std::make_shared<ServerQueue>(loop))
{
}

void OverloadControl::update(ProxyState &proxy, const std::string &service)
{
    const auto present = now();
    auto &updatedAt = m_updatedAt[service];
    if (present - updatedAt < UpdateInterval) {
        return;
    }
    updatedAt = present;
    if (!saturation.update(service, proxy.servers.slotShare(service), present)) {
        return;
    }
    const auto view = saturation.view(service);
    proxy.log(view.isSaturated ? LogLevel::Warning : LogLevel::Info,
              EventNumber::SaturationChanged,
              "service=" + service + " state=" + (view.isSaturated ? "saturated" : "free") + viewText(view)
                  + " waiting=" + std::to_string(queue->size(service)));
}

SaturationView OverloadControl::preview(const ProxyState &proxy, const std::string &service) const
{
    const auto present = now();
    const auto found = m_updatedAt.find(service);
    if (found != m_updatedAt.end() && present - found->second < UpdateInterval) {
        return saturation.view(service);
    }
    return saturation.preview(service, proxy.servers.slotShare(service), present);
}

void OverloadControl::reportRefusal(ProxyState &proxy,
                                    const ProgramRequest &request,
                                    const ProgramRefused &refused,
                                    const std::string &fields)
{
    const std::string reason(admissionName(refused.reason));
    proxy.metrics.count("vanillahall_programs_refused_total", {"reason", reason});
    if (refused.isRepeated) {
        proxy.metrics.count("vanillahall_programs_refused_again_total", {"reason", reason});
    }
    if (!m_refusalLines.claim(now())) {
        return;
    }
    std::ostringstream line;
    line << fields << " reason=" << reason << " repeated=" << (refused.isRepeated ? 1 : 0) << " rank=" << request.customer.rank
         << " until_room_ms=" << ms(refused.untilRoom) << " retry_ms=" << ms(refused.retryAfter) << " left_ms=" << ms(request.timeLeft)
         << " program_left_ms=" << (request.programTimeLeft ? ms(*request.programTimeLeft) : -1)
         << viewText(saturation.view(request.service)) << " left_out=" << std::exchange(m_refusalLines.leftOut, 0);
    proxy.log(LogLevel::Warning, EventNumber::ProgramRefused, line.str());
}

void OverloadControl::reportLoop(ProxyState &proxy, const std::string &fields)
{
    proxy.metrics.count("vanillahall_looping_turns_total", {"role", "proxy"});
    if (m_loopLines.claim(now())) {
        proxy.log(
            LogLevel::Warning, EventNumber::ProgramLooping, fields + " left_out=" + std::to_string(std::exchange(m_loopLines.leftOut, 0)));
    }
}

void OverloadControl::setGauges(ProxyState &proxy) const
{
    proxy.metrics.gauge("vanillahall_services_saturated", static_cast<double>(saturation.saturatedCount()));
    proxy.metrics.gauge("vanillahall_requests_waiting_for_server", static_cast<double>(queue->size()));
    proxy.metrics.gauge("vanillahall_admission_programs", static_cast<double>(programs.size()));
}

} // namespace Vanillahall::Forward
