Feature: Each checker fails when its safeguard is broken

  Each safeguard in turn is replaced by a broken copy; the checker of the
  invariant that it protects must then fail. With all safeguards intact the
  same fault scenario must pass.

  Scenario Outline: <safeguard>
    Given the fault scenario "<fault scenario>" passes with every safeguard intact
    When the safeguard "<safeguard>" is replaced by a broken copy
    Then the fault scenario fails in "<checker>"

    Examples:
      | safeguard                                 | fault scenario                   | checker                |
      | only complete groups serve                | member dies                      | check_complete_groups  |
      | a lost domain is detected                 | member dies                      | check_complete_groups  |
      | only free VMs join a group                | member dies                      | check_one_group        |
      | restarted grantors abstain                | grantors restart                 | check_one_lease_holder |
      | orders wait for the end of the old lease  | grantors restart                 | check_one_lease_holder |
      | frames must fit the position              | frame repeated                   | check_responses        |
      | frames of earlier attempts are dropped    | late frame of an earlier attempt | check_responses        |
      | only signed refusals count as not run     | plain server dies                | check_not_run          |
      | keys from before a restart are refused    | claim holders restart            | check_at_most_once     |
      | a majority must grant                     | one key at every entry           | check_at_most_once     |
      | groups with leaving servers are not ready | server leaves                    | check_retirement       |
      | followers reject older versions           | older version received           | check_versions         |
