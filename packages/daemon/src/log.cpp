#include "log_func.h"

#include "bounded_line_queue.h"

#include "table/event_table.h"

#include "vanillahall/core/id_func.h"

#include <ctime>
#include <iomanip>
#include <sstream>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>

namespace Vanillahall {

namespace {

namespace Trivial = boost::log::trivial;

std::string processName; ///< Set by initLog().

/** Log sink that queues lines for standard output. */
class QueueBackend : public boost::log::sinks::basic_formatted_sink_backend<char>
{
public:
    // NOLINTNEXTLINE(readability-convert-member-functions-to-static): called by the library
    void consume(const boost::log::record_view &, const string_type &line)
    {
        outputQueue().add(line);
    }

    static BoundedLineQueue &outputQueue()
    {
        static BoundedLineQueue queue(1);
        return queue;
    }
};

Trivial::severity_level severity(LogLevel level)
{
    switch (level) {
    case LogLevel::Info:
        return Trivial::info;
    case LogLevel::Warning:
        return Trivial::warning;
    case LogLevel::Error:
        break;
    }
    return Trivial::error;
}

std::string utcTimestamp()
{
    constexpr int MillisecondDigits = 3;
    const auto now = std::chrono::floor<std::chrono::milliseconds>(std::chrono::system_clock::now());
    const auto seconds = std::chrono::floor<std::chrono::seconds>(now);
    const std::time_t time = std::chrono::system_clock::to_time_t(seconds);
    std::tm parts{};
    gmtime_r(&time, &parts);
    std::ostringstream text;
    text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S.") << std::setfill('0') << std::setw(MillisecondDigits) << (now - seconds).count()
         << 'Z';
    return text.str();
}

} // namespace

void initLog(const std::string &process, const std::string &level, LogTarget target)
{
    processName = process;
    if (target == LogTarget::BoundedOutput) {
        using Sink = boost::log::sinks::synchronous_sink<QueueBackend>;
        const auto sink = boost::make_shared<Sink>(boost::make_shared<QueueBackend>());
        sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
        boost::log::core::get()->add_sink(sink);
    } else {
        boost::log::add_console_log(std::cerr,
                                    boost::log::keywords::format = boost::log::expressions::stream << boost::log::expressions::smessage,
                                    boost::log::keywords::auto_flush = true);
    }
    setLogLevel(level);
}

void flushLog()
{
    const auto droppedLines = QueueBackend::outputQueue().flush();
    if (droppedLines != 0) {
        writeFields(LogLevel::Warning, EventNumber::LinesLeftOut, "lines=" + std::to_string(droppedLines));
    }
}

void setLogLevel(const std::string &level)
{
    auto minimum = Trivial::info;
    if (level == "warning") {
        minimum = Trivial::warning;
    } else if (level == "error") {
        minimum = Trivial::error;
    }
    boost::log::core::get()->set_filter(Trivial::severity >= minimum);
}

std::string_view eventName(EventNumber event)
{
    for (const auto &row : EventTable) {
        if (row.event == event) {
            return row.name;
        }
    }
    return "unnamed";
}

void writeLog(const WriteLog &line)
{
    std::ostringstream text;
    text << utcTimestamp() << " process=" << processName << " level=" << Trivial::to_string(severity(line.level))
         << " event=" << static_cast<unsigned>(line.event) << " name=" << eventName(line.event);
    if (line.call) {
        text << " program=" << toText(line.call->program);
        if (line.call->turn.value != 0) {
            text << " turn=" << line.call->turn.value;
        }
    }
    if (!line.peer.empty()) {
        text << " peer=" << line.peer;
    }
    if (!line.text.empty()) {
        text << " text=" << std::quoted(line.text);
    }
    BOOST_LOG_STREAM_WITH_PARAMS((Trivial::logger::get()), (boost::log::keywords::severity = severity(line.level))) << text.str();
}

void writeFields(LogLevel level, EventNumber event, const std::string &fields)
{
    BOOST_LOG_STREAM_WITH_PARAMS((Trivial::logger::get()), (boost::log::keywords::severity = severity(level)))
        << utcTimestamp() << " process=" << processName << " level=" << Trivial::to_string(severity(level))
        << " event=" << static_cast<unsigned>(event) << " name=" << eventName(event) << ' ' << fields;
}

void writeLog(LogLevel level, EventNumber event, const std::string &peer, const std::string &text)
{
    writeLog(WriteLog{level, event, std::nullopt, peer, text});
}

} // namespace Vanillahall
