Feature: Promises hold while seeded disturbances overlap

  Scenario: Disturbances are drawn within the design
    Then the property "soak.disturbances_stay_within_the_design" holds

  Scenario Outline: A fault soak of <seconds> seconds, seed <seed>
    Then a fault soak of <seconds> seconds with seed <seed> breaks no promise

    Examples:
      | seconds | seed |
      | 15      | 1    |
      | 15      | 2    |

  Scenario Outline: Disturbances that once broke a promise: <case>
    Then the recorded soak "<case>" breaks no promise

    Examples:
      | case                     | seen                                           |
      | connections-silent-twice | flows refused target-gone though targets lived |
      | requests-not-answered    | requests not answered again within 40 s        |
