// Publishes the settings' configuration file at the first start of a standalone process.
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

constexpr duration publish_limit = 20s;

wire::envelope_ptr call_control(runtime::worker_pool& pool, wire::group_client& client,
                                wire::envelope question)
{
    return boost::asio::co_spawn(boost::asio::make_strand(pool.executor()),
                                 client.call(0, std::move(question), publish_limit), boost::asio::use_future)
        .get();
}

} // namespace

void publish_initial_configuration(const settings& given, runtime::worker_pool& pool)
{
    const operators::parsed_configuration file = operators::read_configuration(given.configuration_file);
    std::string faults;
    for (const configuration::fault& one : configuration::check_set(file.objects)) {
        faults += operators::describe_fault(file, given.configuration_file, one) + "\n";
    }
    if (!faults.empty()) {
        throw settings_error(faults);
    }
    wire::link links(pool.executor(), given.links, incarnation_id{random_id()});
    wire::group_client client(links, given.replicas);
    wire::envelope question;
    question.mutable_get();
    if (call_control(pool, client, std::move(question))->got().revision() != 0) {
        return;
    }
    wire::envelope publication;
    publication.mutable_apply()->set_operator_name("standalone");
    publication.mutable_apply()->set_request_id("first-set");
    configuration::to_wire(file.objects, publication.mutable_apply()->mutable_objects());
    const wire::envelope_ptr answer = call_control(pool, client, std::move(publication));
    const failure why = to_failure(answer->applied().failure());
    if (why != failure::none) {
        throw settings_error(given.configuration_file + ": refused: " + find_failure(why).name);
    }
}

} // namespace guavawick
