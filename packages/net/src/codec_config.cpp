#include "codec_func.h"

namespace Vanillahall {

void encode(const ClassTarget &in, Wire::ClassTarget &out)
{
    out.set_name(in.name.text);
    out.set_target_ms(in.target.count());
}

bool decode(const Wire::ClassTarget &in, ClassTarget &out, Error &)
{
    out.name.text = in.name();
    out.target = std::chrono::milliseconds(in.target_ms());
    return true;
}

void encode(const ServerDeclaration &in, Wire::ServerDeclaration &out)
{
    out.set_name(in.name.text);
    out.set_state(static_cast<Wire::ServerState>(in.state));
}

bool decode(const Wire::ServerDeclaration &in, ServerDeclaration &out, Error &reason)
{
    out.name.text = in.name();
    return decodeEnum(in.state(), Wire::ServerState_IsValid, out.state, "ServerDeclaration.state", reason);
}

void encode(const ConfigChange &in, Wire::ConfigChange &out)
{
    out.set_version(in.version.value);
    out.set_operator_name(in.operatorName);
    out.set_at(in.at.time_since_epoch().count());
    out.set_request_number(in.requestNumber);
    std::visit(Overloaded{[&](const ClassTarget &it) {
                              encode(it, *out.mutable_class_target());
                          },
                          [&](const ServerDeclaration &it) {
                              encode(it, *out.mutable_server());
                          }},
               in.change);
}

bool decode(const Wire::ConfigChange &in, ConfigChange &out, Error &reason)
{
    out.version.value = in.version();
    out.operatorName = in.operator_name();
    out.at = WallTime(std::chrono::milliseconds(in.at()));
    out.requestNumber = in.request_number();
    switch (in.change_case()) {
    case Wire::ConfigChange::kClassTarget:
        return decode(in.class_target(), out.change.emplace<ClassTarget>(), reason);
    case Wire::ConfigChange::kServer:
        return decode(in.server(), out.change.emplace<ServerDeclaration>(), reason);
    default:
        return failMissing("ConfigChange.change", reason);
    }
}

void encode(const ConfigRow &in, Wire::ConfigRow &out)
{
    out.set_version(in.version.value);
    encodeAll(in.classes, *out.mutable_classes());
    encodeAll(in.servers, *out.mutable_servers());
    encodeAll(in.history, *out.mutable_history());
}

bool decode(const Wire::ConfigRow &in, ConfigRow &out, Error &reason)
{
    out.version.value = in.version();
    return decodeAll(in.classes(), out.classes, reason) && decodeAll(in.servers(), out.servers, reason)
        && decodeAll(in.history(), out.history, reason);
}

void encode(const ConfigUpdate &in, Wire::ConfigUpdate &out)
{
    encode(in.config, *out.mutable_config());
}

bool decode(const Wire::ConfigUpdate &in, ConfigUpdate &out, Error &reason)
{
    return decode(in.config(), out.config, reason);
}

} // namespace Vanillahall
