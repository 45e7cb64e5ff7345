// A caller sends more requests on one session than the host keeps waiting, and
// takes the answers in the order of its requests.

#include "site.hpp"

#include <algorithm>

namespace
{

using namespace review;

// Requests of the flood; without the trouble the next is sent after the answer
// to the last.
constexpr std::size_t request_count = 100;

const std::vector<route> routes{
    {"job-card", "nibledger1", "primary", 800, 150, 1, 0}};

/// Reads with a write among the first.
std::vector<std::string> requests()
{
    std::vector<std::string> texts;
    for (std::size_t i = 0; i < request_count; ++i)
        texts.push_back("READ item" + std::to_string(i));
    texts[1] = "WRITE card new";
    return texts;
}

bool is_promise(const caller_answer& answer)
{
    const auto code = answer.error.substr(0, answer.error.find(' '));
    return code == "BUSY" || code == "ABORTED" || code == "LAGGING" ||
           code == "READONLY" || code == "MISROUTED" || code == "TOOMANY";
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = case_options::from(argc, argv);
    record log(options.record_path);
    site deployment(log, options);
    if (!deployment.start({"nibledger1"}, routes))
        deployment.finish(verdict::not_run, "the site did not start");
    caller session(log, deployment.host(0));
    if (!session.open("job-card"))
        deployment.finish(verdict::not_run, "no session");

    const auto texts = requests();
    std::vector<std::string> ids;
    std::vector<caller_answer> answers;
    if (options.has_trouble)
    {
        ids = session.send_all(texts);
        for (const auto& id : ids)
            answers.push_back(session.read(id));
    }
    else
        for (const auto& text : texts)
        {
            ids.push_back(session.send(text));
            answers.push_back(session.read(ids.back()));
        }

    // Databases sign with the id of the request, and name the item in the row.
    std::size_t foreign = 0;
    std::size_t incomplete = 0;
    for (std::size_t i = 0; i < ids.size(); ++i)
    {
        const auto& answer = answers[i];
        incomplete += answer.is_complete ? 0 : 1;
        if (!answer.is_success() ||
            answer.signature.find("." + ids[i] + ".") != std::string::npos)
            continue;
        ++foreign;
        log.line(
            "MIXED: " + ids[i] + " " + texts[i] +
            " got the signature and rows of another request: " + answer.text());
    }
    caller reader(log, deployment.host(1));
    const auto card =
        reader.open("job-card") ? reader.ask("READ card") : caller_answer();
    const bool is_kept = card.rows == std::vector<std::string>{"card is new"};
    const bool is_denied = is_kept && is_promise(answers[1]);
    if (is_denied)
        log.line("REFUSED: the write " + ids[1] + " got " + answers[1].error +
                 " and is committed");
    const auto text = std::to_string(foreign) + " of " +
                      std::to_string(request_count) +
                      " requests got the answer of another one" +
                      (is_denied ? "; a committed write was refused" : "");
    if (foreign > 0 || is_denied)
        deployment.finish(verdict::broken, "MIXED: " + text);
    if (incomplete > 0 || !card.is_success())
        deployment.finish(verdict::not_run, std::to_string(incomplete) +
                                                " requests got no answer");
    deployment.finish(verdict::held, text);
}
