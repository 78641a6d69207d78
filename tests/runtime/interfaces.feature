@processes
Feature: The published interfaces, by real processes

  Scenario Outline: Bad input gets a clear problem and ends nothing
    A caller, a server or an operator sends what cannot be taken. The answer
    is problem+json with a stable code and the verdict not_run, and the entry
    goes on.
    When "<method> <path>" is sent with token "<token>", headers "<headers>" and body "<body>"
    Then the problem is <status> "<code>" with verdict not_run
    And the entry still answers

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

  Scenario: Garbage between processes ends nothing
    Random bytes and damaged frames come on the ports that the system's own
    processes use. The connection is closed and nothing else happens.
    When garbage is sent to the peer ports of an entry and a control process
    Then the entry still answers

  Scenario: Health, readiness and metrics
    Then the entry tells its health, its readiness and its metrics
    And a control process tells group downtime and stranded accelerators

  Scenario: Status is a table for people and JSON for programs
    Then status prints a table, and with --json the same as JSON

  Scenario: Each role is one process
    Then each role is one process with one thread and has no child

  Scenario: Logs are JSON lines with the fields that operators search for
    Then each log line is JSON with time, level, role, zone, vm and version

  Scenario: Explain shows attempts and replicas weighed, through any entry
    A request went through one entry; the operator asks another one, in
    another zone, what happened to it.
    When a request is answered and another entry is asked to explain it
    Then the explanation names the replica, what was weighed and the verdict

  Scenario: Spans of one request carry the caller's trace
    Then a tracer that exports gives one span for each hop of a trace
