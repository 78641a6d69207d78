@processes
Feature: Sessions as recorded by callers, operators and backend servers

  Callers, operators and backend servers each record the session, and the
  record is compared with a golden file; ids, times and ports are replaced by
  names. `behave -D golden=write tests/sessions` rewrites the golden files.

  Scenario: Operators change presets while callers send requests
    An operator lists services and presets, has a change refused because of its
    expected version, and switches presets. Callers request streamed and
    complete responses and send a work order twice.
    When the session "normal operation" is recorded
    Then its record equals the golden file "normal_operation.txt"

  Scenario: A member of a replica dies during a stream
    In simulated time: the stream continues on another replica, the group is
    repaired with spare VMs, and the paused VM is released when it resumes.
    When the session "lost member" is recorded
    Then its record equals the golden file "lost_member.txt"

  Scenario: A zone is isolated by a network partition
    In simulated time: callers in the zone are served, work orders and changes
    there are refused without effect, and once the partition is healed all
    entries follow the same configuration version.
    When the session "isolated zone" is recorded
    Then its record equals the golden file "isolated_zone.txt"
