#include "chicorylink/gateway/single_run.hpp"

#include "chicorylink/gateway/steps.hpp"

namespace chicorylink::gateway {

void run(services& all, const work_ptr& entry)
{
    submit(all, entry);
}

void issue_ticket(services& /*all*/, const std::shared_ptr<exchange>& request,
                  const rules::rulebook& /*book*/, const identity& /*who*/)
{
    request->answer({501, {}, ""});
}

void issue_forwarded_ticket(services& /*all*/, const work_ptr& entry)
{
    entry->sink.whole({501, {}, ""}, run_outcome::not_run);
}

}  // namespace chicorylink::gateway
