// Replies of a replica that does not lead its group.
#include "replica/redirect_func.hpp"

#include "replica/group.hpp"

namespace guavawick::replica {

wire::envelope make_redirect(const group& from)
{
    wire::envelope reply;
    wire::not_leader& redirect = *reply.mutable_redirect();
    redirect.set_leader_endpoint(from.leads() ? "" : from.leader_endpoint());
    if (from.knows_leader(runtime_clock::now())) {
        return reply;
    }
    const group_contact contact = from.contact();
    redirect.set_term(contact.term);
    redirect.set_role(name_of(contact.role));
    redirect.set_last_index(contact.last);
    redirect.set_voters(static_cast<std::uint32_t>(contact.voters));
    redirect.set_reachable_voters(static_cast<std::uint32_t>(contact.reachable_voters));
    return reply;
}

} // namespace guavawick::replica
