Feature: The complete path through separate processes

  Scenario: One flow, one request and one catalogue change
    Given a small deployment with flows and requests
    When 40 flows are opened
    And 20 requests are sent to "orders"
    And the operator creates entry "late-board" for service "ordering" at "10.77.0.9:4000"
    And 5 flows are opened to "10.77.0.9:4000"
    Then 45 flows are open and none broke
    And all requests were answered whole by their own target
    And every process has the newest version in force
    And the audit trail shows "late-board" accepted for "operator-1"

  Scenario: A killed balancer breaks no flow
    Given a small deployment with flows and requests
    When 40 flows are opened
    And balancer "balancer-1" is killed while flows run
    Then 40 flows are open and none broke

  Scenario: Every process ends gracefully on a stop signal
    Given a small deployment with flows and requests
    When every process is asked to stop
    Then each process ended with status 0

  Scenario: Each process serves its metrics
    Given a small deployment with flows and requests
    Then "controller-1" serves the metric "lentilcourse_controller_version"
    And "balancer-1" serves the metric "lentilcourse_packets_received_total"
    And "ordering-1" serves the metric "lentilcourse_flow_received_total"
