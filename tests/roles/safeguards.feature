Feature: Each checker fails when its safeguard is broken

  A checker that cannot fail proves nothing. Here each safeguard is replaced
  by a broken copy, one at a time, and the checker of the promise that it
  keeps must notice. The same play with the safeguard whole must pass.

  Scenario Outline: <safeguard>
    Given the play "<play>" passes with every safeguard whole
    When the safeguard "<safeguard>" is broken
    Then the play fails in "<checker>"

    Examples:
      | safeguard                    | play          | checker            |
      | only whole groups serve      | member dies   | check_whole_groups |
      | a lost domain is noticed     | member dies   | check_whole_groups |
      | only free VMs join a group   | member dies   | check_one_group    |
      | restarted grantors stay silent | grantors restart | check_one_holder |
      | orders wait out the old lease | grantors restart | check_one_holder |
      | frames must fit the position | frames doubled | check_answers     |
      | former attempts are dropped  | streams move  | check_answers      |
      | only signed refusals are not run | server dies | check_not_run    |
      | forgotten keys are refused   | holders restart | check_at_most_once |
      | a majority must grant        | one key everywhere | check_at_most_once |
      | leaving servers are not whole | server leaves | check_retirement  |
      | followers never go back      | versions race | check_versions     |
