Feature: Checked settings

  Scenario Outline: A wrong setting is refused with file, section and key
    Given the settings of "<process>"
    When "<section>" "<key>" is set to "<value>"
    Then the settings are refused naming "<section>", "<key>" and "<text>"

    Examples:
      | process      | section     | key                 | value        | text                     |
      | controller-1 | controller  | address             | host:7100    | IPv4 address by number   |
      | controller-1 | controller  | address             | 127.0.0.1    | IP:PORT                  |
      | controller-1 | controller  | address             | 127.0.0.1:0  | IP:PORT                  |
      | controller-1 | controller  | adress              | 127.0.0.1:1  | is unknown               |
      | controller-1 | controller  | election_timeout_ms | -5           | must be a number         |
      | controller-1 | controller  | group_commit        | maybe        | must be one of           |
      | controller-1 | process     | role                | proxy        | must be one of           |
      | controller-1 | process     | name                | 9 lives      | must be 1 to 63 letters  |
      | controller-1 | keys        | cluster             | 00ff         | hexadecimal digits       |
      | controller-1 | keys        | cluster             | zz           | hexadecimal digits       |
      | controller-1 | operators   | operator-1          | 12           | hexadecimal digits       |
      | balancer-1   | balancer    | request_address     | [::1]:80     | IPv4 address by number   |
      | balancer-1   | balancer    | max_connections     | many         | must be a number         |
      | balancer-1   | controllers | controller-1        | 127.0.0.1    | IP:PORT                  |
      | ordering-1   | agent       | flow_idle_s         | nan          | must be a number         |
      | ordering-1   | process     | log_level           | LOUD         | must be one of           |

  Scenario Outline: A missing section or key is refused
    Given the settings of "<process>"
    When "<section>" loses "<key>"
    Then the settings are refused naming "<section>", "<key>" and "is missing"

    Examples:
      | process      | section    | key          |
      | controller-1 | controller | data_folder  |
      | controller-1 | process    | role         |
      | balancer-1   | balancer   | *            |
      | ordering-1   | agent      | data_address |
      | ordering-1   | keys       | *            |

  Scenario: An unknown section is refused
    Given the settings of "balancer-1"
    When "proxy" "mode" is set to "fast"
    Then the settings are refused naming "proxy", "" and "is unknown"

  Scenario: The daemon exits with status 2 and starts nothing
    Given the settings of "controller-1"
    When "controller" "address" is set to "nowhere"
    Then the daemon exits with status 2 and one line that names the file

  Scenario Outline: A changed settings file is taken in force, or said to need a restart
    Given the settings of "<process>"
    And the process was started with them
    When "<section>" "<key>" is set to "<value>"
    Then a reload takes "<taken>" and names "<restart>" for a restart

    Examples:
      | process      | section     | key             | value            | taken             | restart                 |
      | controller-1 | process     | log_level       | ERROR            | process.log_level |                         |
      | balancer-1   | balancer    | max_connections | 17               |                   | balancer.max_connections |
      | controller-1 | keys        | cluster         | 00112233445566778899aabbccddeeff |  | cluster_key             |
      | ordering-1   | agent       | flow_idle_s     | 77               |                   | agent.flow_idle_s       |

  Scenario Outline: A settings file that is refused changes nothing in a process that runs
    Given the settings of "<process>"
    And the process was started with them
    When "<section>" "<key>" is set to "<value>"
    Then a reload is refused naming "<section>" and "<key>", and the next one takes nothing

    Examples:
      | process      | section | key       | value |
      | controller-1 | process | log_level | LOUD  |
      | balancer-1   | process | name      | 9 x   |
