Feature: Operators' tools

  Scenario: A declared catalogue is applied after showing the difference
    Given a small deployment with flows and requests
    When a declared catalogue with one new, one changed and one missing entry is applied
    Then the difference was shown and the catalogue is as declared
    And applying it again changes nothing

  Scenario: A refusal is traced from its id to the owner's limit
    Given a small deployment that is warm
    When the operator limits "intake" to 1 requests in flight
    And 6 long requests to "intake" run at once
    Then asking why names "intake", "millers-desk" and "requests_in_flight"

  Scenario Outline: A command prints what it should: "<command>"
    Given a small deployment with flows and requests
    Then "<command>" prints "<text>" and ends with <status>

    Examples:
      | command                                  | text             | status |
      | status                                   | ordering-4       | 0      |
      | status --json                            | admin_address    | 0      |
      | entry-list                               | price-board      | 0      |
      | entry-show orders                        | ordering-1       | 0      |
      | entry-show nothing                       | does not exist   | 4      |
      | target-list                              | luzon-c          | 0      |
      | domain-list                              | luzon-a          | 0      |
      | controller-list                          | voter            | 0      |
      | audit --last 5                           | accepted         | 0      |
      | refusals                                 | process          | 0      |
      | why 00000000                             | no process       | 1      |
      | entry-delete orders --version 999        | conflict         | 3      |
      | domain-out nowhere --yes                 | does not exist   | 4      |
      | target-drain ordering-1 --wait 20        | in force         | 0      |
