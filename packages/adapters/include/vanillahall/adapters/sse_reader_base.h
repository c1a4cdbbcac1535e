/** Parser of server-sent events. */
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

namespace Vanillahall {

/** Splits a stream into the data of its events. Lines end in LF, CR LF or CR; chunks of input may end anywhere. */
class SseReader
{
public:
    using Callback = std::function<void(std::string_view data)>; ///< Receives the data of one event.

    /**
     * @param maxEventBytes Maximum size of a line and of the data of one event.
     * @param callback Called once for each event with data.
     */
    SseReader(std::size_t maxEventBytes, Callback callback);

    /**
     * Parses the next chunk of input.
     * @param piece Untrusted input, any bytes.
     * @return False if a line or an event was too long; all further input is ignored.
     */
    bool read(std::string_view piece);

private:
    void processLine(std::string_view line);
    void processField(std::string_view name, std::string_view value);

    std::size_t m_maxEventBytes;
    Callback m_callback;
    std::string m_line;
    std::string m_data;
    bool m_hasData = false;
    bool m_followsCr = false;
    bool m_isTooLong = false;
};

} // namespace Vanillahall
