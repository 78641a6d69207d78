@processes
Feature: The published interfaces, by real processes

  Scenario Outline: Invalid input is refused and the entry keeps running
    A caller, a server or an operator sends invalid input. The response is
    problem+json with a stable code and the verdict not_run.
    When "<method> <path>" is sent with token "<token>", headers "<headers>" and body "<body>"
    Then the problem is <status> "<code>" with verdict not_run
    And the entry still serves requests

    Examples:
      | method | path | token | headers | body | status | code |
      | POST | /v1/chat/completions | none | | {} | 401 | unknown_token |
      | POST | /v1/chat/completions | wrong-token | | {} | 401 | unknown_token |
      | POST | /v1/chat/completions | caller | | {"model" | 400 | bad_request |
      | POST | /v1/chat/completions | caller | | [] | 400 | bad_request |
      | POST | /v1/chat/completions | caller | | {"model":"assistant","messages":[]} | 400 | bad_request |
      | POST | /v1/chat/completions | caller | | {"model":"assistant","messages":[1]} | 400 | bad_request |
      | POST | /v1/chat/completions | caller | | {"model":"assistant","messages":[{}],"max_tokens":0} | 400 | bad_request |
      | POST | /v1/chat/completions | caller | | {"model":"nothing","messages":[{}]} | 404 | unknown_service |
      | POST | /v1/chat/completions | caller | | {"model":"dispatch","messages":[{}]} | 404 | unknown_service |
      | POST | /v1/chat/completions | caller | Prefer: wait=soon | {} | 400 | bad_header |
      | POST | /v1/chat/completions | caller | Idempotency-Key: x | {} | 400 | bad_header |
      | POST | /v1/chat/completions | caller | | LARGE | 413 | body_too_large |
      | POST | /services/dispatch/crews | caller | | crew | 400 | key_required |
      | POST | /services/nothing/crews | caller | | crew | 404 | unknown_service |
      | POST | /backend/announcements | none | | {"state":{}} | 400 | bad_announcement |
      | POST | /backend/announcements | none | | not json | 400 | bad_announcement |
      | POST | /backend/announcements | none | | {"state":{"vm":"v","boot":1,"zone":"hamilton","domain":"d","address":"127.0.0.1:1","fence":9223372036854775807}} | 400 | bad_announcement |
      | POST | /backend/announcements | none | | {"state":{"vm":"v","boot":18446744073709551615,"zone":"hamilton","domain":"d","address":"127.0.0.1:1"}} | 400 | bad_announcement |
      | POST | /backend/announcements | none | | {"state":{"vm":"v","boot":1,"zone":"hamilton","domain":"d","address":"127.0.0.1:1","slots":0}} | 400 | bad_announcement |
      | POST | /admin/changes | operator | | {"change_id":"change-0001","expected_version":18446744073709551615,"operation":{"kind":"drain_vm","vm":"v","drained":true}} | 400 | bad_change |
      | POST | /admin/changes | operator | | {"change_id":"change-0002","expected_version":1,"operation":{"kind":"apply_service","service":{"name":"s","model":"m","replicas":18446744073709551615}}} | 400 | bad_change |
      | POST | /admin/changes | caller | | {} | 401 | unknown_token |
      | POST | /admin/changes | operator | | {} | 400 | bad_change |
      | POST | /admin/changes | operator | | {"operation":{"kind":"burn"}} | 400 | bad_change |
      | GET | /admin/requests/none | operator | | | 404 | unknown_request |

  Scenario: Malformed data on peer ports does not end a process
    Random bytes and damaged frames arrive on the ports that the system's own
    processes use. The connection is closed and nothing else happens.
    When malformed data is sent to the peer ports of an entry and a control process
    Then the entry still serves requests

  Scenario: Health, readiness and metrics of processes can be queried
    Then the entry reports its health, its readiness and its metrics
    And a control process reports group downtime and stranded accelerators

  Scenario: The status command prints a table for people or JSON for programs
    Then status prints a table, and with --json the same as JSON

  Scenario: Each role runs as one process
    Then each role runs as one process with one thread and no child

  Scenario: Logs are JSON lines with the fields that operators search for
    Then each log line is JSON with time, level, role, zone, vm and version

  Scenario: Any entry can explain a request's attempts and scored replicas
    A request was served through one entry; the operator requests its
    explanation from another one, in another zone.
    When a request is served and another entry is queried to explain it
    Then the explanation names the replica, the candidates and the verdict

  Scenario: Spans of one request carry the caller's trace
    Then a tracer exports one span for each hop of a trace
