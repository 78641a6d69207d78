Feature: Routes and keys

  Scenario Outline: Of a host's routes, the longest matching prefix is used
    Given routes for "/", "/a/" and "/a/b/" of host "one", "/a/" of host "two"
    Then "<path>" of host "<host>" goes to <route>

    Examples:
      | host  | path     | route   |
      | one   | /a/b/c   | one/a/b |
      | one   | /a/bc    | one/a   |
      | one   | /a       | one     |
      | ONE   | /a/      | one/a   |
      | two   | /a/b/    | two/a   |
      | two   | /b/      | none    |
      | three | /a/      | none    |
      | one   | /a/../x/ | one/a   |

  Scenario: A path of slashes is looked up no more often than prefixes are long
    Given routes for "/", "/a/" and "/a/b/" of host "one", "/a/" of host "two"
    Then a path of 8000 slashes of host "one" is looked up 5 times at most

  Scenario: Only a known key is accepted
    Given a route that needs a key of workspace "crew"
    Then key "right" is accepted as workspace "crew"
    And key "wrong" is refused
    And a request without a key is refused

  Scenario: Services are chosen at random by their weights
    Given a route to service "old" with weight 90 and "new" with weight 10
    Then of 1000 requests 850 to 950 go to "old"

  Scenario Outline: An invalid configuration is refused
    Given a configuration with <fault>
    Then it is refused because "<reason>"

    Examples:
      | fault             | reason                            |
      | an unknown service | names the unknown service         |
      | two equal routes  | two routes share                  |
      | no weights        | add up to 0                       |
      | no timeout        | the timeout of route              |
      | a shared key      | two workspaces share a key        |
