// Publishes the initial configuration of a standalone process.
#include "standalone/first_set.hpp"

#include "base/failure_type.hpp"
#include "base/hash_func.hpp"
#include "configuration/configuration_codec.hpp"
#include "configuration/configuration_func.hpp"
#include "operator/set_file.hpp"
#include "wire.pb.h"
#include "wire/group_client.hpp"

#include <boost/asio/use_future.hpp>

namespace guavawick {
namespace {

constexpr duration control_timeout = 20s;

wire::envelope_ptr call_control(runtime::worker_pool& pool, wire::group_client& client,
                                wire::envelope request)
{
    return boost::asio::co_spawn(boost::asio::make_strand(pool.executor()),
                                 client.call(0, std::move(request), control_timeout), boost::asio::use_future)
        .get();
}

} // namespace

void publish_initial_configuration(const settings& process_settings, runtime::worker_pool& pool)
{
    const operators::parsed_configuration file =
        operators::read_configuration(process_settings.configuration_file);
    std::string faults;
    for (const configuration::fault& fault : configuration::check_set(file.objects)) {
        faults += operators::describe_fault(file, process_settings.configuration_file, fault) + "\n";
    }
    if (!faults.empty()) {
        throw settings_error(faults);
    }
    wire::link links(pool.executor(), process_settings.links, incarnation_id{random_id()});
    wire::group_client client(links, process_settings.replicas);
    wire::envelope get_request;
    get_request.mutable_get();
    if (call_control(pool, client, std::move(get_request))->got().revision() != 0) {
        return;
    }
    wire::envelope apply_request;
    apply_request.mutable_apply()->set_operator_name("standalone");
    apply_request.mutable_apply()->set_request_id("first-set");
    configuration::to_wire(file.objects, apply_request.mutable_apply()->mutable_objects());
    const wire::envelope_ptr reply = call_control(pool, client, std::move(apply_request));
    const failure error = to_failure(reply->applied().failure());
    if (error != failure::none) {
        throw settings_error(process_settings.configuration_file + ": refused: " + find_failure(error).name);
    }
}

} // namespace guavawick
